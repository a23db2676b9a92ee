//! Reports a host's state through log events and gauges.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_std::task::sleep;
use forward::Dialect;
use kernel::HostName;
use route::directory::{Absence, Change};
use route::reach::State;
use telemetry::{Event, Gauges, Links, RefusedUpdate, Value};

use crate::host::{Host, ListingMeta};
use crate::{Store, StoreError};

/// The interval at which gauges are set and dropped log lines are reported.
const GAUGE_INTERVAL: Duration = Duration::from_secs(1);

/// Counts a call to the store, logs when calls of its kind begin to fail or succeed again, and
/// restarts the long polls when the store is available again or was restored.
pub(crate) fn record_store_call<S: Store, D: Dialect, T>(
    host: &Host<S, D>,
    call: &'static str,
    began: Duration,
    result: &Result<T, StoreError>,
) {
    let took = host.node.now().saturating_sub(began);
    let name = match result {
        Ok(_) => "done".to_owned(),
        Err(error) => error.to_string(),
    };
    let timed = (!call.starts_with("news")).then_some(took);
    host.recorder().metrics().store_call(call, name, timed);
    detect_restore(host);
    record_availability(host, began, result);
    let mut failing_calls = host.failing_calls.borrow_mut();
    match result {
        // The store responded, so this isn't logged as a failure.
        Err(StoreError::Conflict | StoreError::HistoryGone) => {}
        Err(error) if failing_calls.insert(call) => host.recorder().log_event(
            Event::StoreLost,
            &[
                ("call", Value::Text(&call)),
                ("trouble", Value::Text(error)),
                ("ms", Value::Time(took)),
            ],
        ),
        Ok(_) if failing_calls.remove(call) => {
            host.recorder()
                .log_event(Event::StoreBack, &[("call", Value::Text(&call))]);
        }
        _ => {}
    }
}

/// Records whether the store responded, and when it does again, restarts the long polls that may
/// have reached it while it didn't.
fn record_availability<S: Store, D: Dialect, T>(
    host: &Host<S, D>,
    began: Duration,
    result: &Result<T, StoreError>,
) {
    let mut availability = host.availability.get();
    let back_since = match result {
        Ok(_) | Err(StoreError::Conflict | StoreError::HistoryGone) => {
            availability.record_success(began, host.node.now())
        }
        Err(_) => {
            availability.record_failure(host.node.now());
            None
        }
    };
    host.availability.set(availability);
    if let Some(since) = back_since {
        host.restart_long_polls(since);
    }
}

/// Detects that the store was restored from an older copy. Open long polls are restarted then,
/// because they refer to revisions that may have been assigned anew.
fn detect_restore<S: Store, D: Dialect>(host: &Host<S, D>) {
    let era = host.store.era();
    if host
        .era
        .replace(Some(era))
        .is_some_and(|before| before != era)
    {
        host.recorder()
            .log_event(Event::StoreRestored, &[("era", Value::Count(era))]);
        let now = host.node.now();
        host.node.router().store_restored(now);
        host.restart_long_polls(now);
    }
}

/// Logs the number of unusable entries in a listing when it changes. Logging it at each
/// reading would repeat the same line.
pub(crate) fn log_unusable<S: Store, D: Dialect>(
    host: &Host<S, D>,
    listing: &'static str,
    count: usize,
) {
    let before = host.unusable_entries.borrow_mut().insert(listing, count);
    if before.unwrap_or_default() != count {
        host.recorder().log_event(
            Event::EntriesUnusable,
            &[
                ("listing", Value::Text(&listing)),
                ("entries", Value::Count(count as u64)),
            ],
        );
    }
}

/// Logs and counts an update of the listing from another host that can't be applied.
pub(crate) fn log_refused_listing<S: Store, D: Dialect>(
    host: &Host<S, D>,
    from: &HostName,
    update: RefusedUpdate,
) {
    host.recorder().metrics().refused_update(update);
    host.recorder().log_event(
        Event::ListingRefused,
        &[
            ("from", Value::Text(from)),
            ("update", Value::Text(&update)),
        ],
    );
}

/// Logs the endpoints that a listing added, and those that take no new requests from now on.
pub(crate) fn log_endpoint_changes<S: Store, D: Dialect>(
    host: &Host<S, D>,
    change: &Change,
    age: Duration,
) {
    let log = |event, id: &kernel::EndpointId| {
        host.recorder().log_event(
            event,
            &[
                ("endpoint", Value::Text(id)),
                ("listing_age_ms", Value::Time(age)),
            ],
        );
    };
    for id in &change.added {
        log(Event::EndpointAdded, id);
    }
    for id in &change.leaving {
        log(Event::EndpointLeaving, id);
    }
}

/// Logs that an absence from the listing means something else than before.
pub(crate) fn log_absence<S: Store, D: Dialect>(
    host: &Host<S, D>,
    before: Absence,
    meta: &ListingMeta,
) {
    let event = match (before, meta.absence()) {
        (Absence::Gone, Absence::Lapsed) => Event::AbsenceDoubtful,
        (Absence::Lapsed, Absence::Gone) => Event::AbsenceReliable,
        (Absence::Gone, Absence::Gone) | (Absence::Lapsed, Absence::Lapsed) => return,
    };
    let age = host.node.now().saturating_sub(meta.at());
    let listing_age = ("listing_age_ms", Value::Time(age));
    host.recorder().log_event(event, &[listing_age]);
}

/// Sets the gauges, and logs changes of readiness and of the set of serving hosts.
pub(crate) async fn run_gauges<S: Store, D: Dialect>(host: Rc<Host<S, D>>) {
    let mut was_ready = false;
    let mut hosts: HashSet<SocketAddr> = HashSet::new();
    loop {
        sleep(GAUGE_INTERVAL).await;
        host.recorder().log_dropped_lines();
        let is_ready = host.is_ready();
        if is_ready != was_ready {
            let event = if is_ready {
                Event::Ready
            } else {
                Event::Unready
            };
            host.recorder().log_event(event, &[]);
            was_ready = is_ready;
        }
        let now: HashSet<SocketAddr> = host
            .serving_addresses()
            .into_iter()
            .map(|it| it.front)
            .collect();
        if now != hosts {
            log_hosts_changed(&host, &hosts, &now);
            hosts = now;
        }
        let gauges = collect_gauges(&host, hosts.len());
        host.recorder().metrics().set_gauges(&gauges);
    }
}

/// Logs which hosts callers are now sent to and no longer sent to. When many hosts change at
/// once, the first few suffice to identify the data centre.
fn log_hosts_changed<S: Store, D: Dialect>(
    host: &Host<S, D>,
    before: &HashSet<SocketAddr>,
    now: &HashSet<SocketAddr>,
) {
    const MAX_LISTED: usize = 16;
    let only_in = |of: &HashSet<SocketAddr>, without: &HashSet<SocketAddr>| {
        let mut some: Vec<_> = of.difference(without).collect();
        some.sort_unstable();
        let names = some.iter().take(MAX_LISTED).map(ToString::to_string);
        names.collect::<Vec<_>>().join(" ")
    };
    host.recorder().log_event(
        Event::HostsChanged,
        &[
            ("hosts", Value::Count(now.len() as u64)),
            ("added", Value::Text(&only_in(now, before))),
            ("removed", Value::Text(&only_in(before, now))),
        ],
    );
}

fn link_gauges<S: Store, D: Dialect>(host: &Host<S, D>) -> Links {
    let Some(link) = host.link.borrow().clone() else {
        return Links::default();
    };
    let traffic = link.udp_traffic();
    Links {
        connections: link.connection_count() as u64,
        handshakes: link.counters().snapshot().handshakes,
        sent: traffic.bytes_sent,
        received: traffic.bytes_received,
    }
}

fn collect_gauges<S: Store, D: Dialect>(host: &Host<S, D>, hosts: usize) -> Gauges {
    let now = host.node.now();
    let mut router = host.node.router();
    let since =
        |at: Option<Duration>| at.map_or(f64::NAN, |at| now.saturating_sub(at).as_secs_f64());
    let (endpoints, resting) = router.directory().endpoint_counts(now);
    let budgets = router.budgets(now);
    Gauges {
        config_version: router.version().unwrap_or(0),
        config_confirmed: since(host.config_confirmed.get()),
        listing_age: since(router.listing_time()),
        endpoints: endpoints as u64,
        ejected: resting as u64,
        endpoints_limited: router.directory().limited_count() as u64,
        endpoints_unreachable: u64::from(router.reach() == State::CutOff),
        data_centres_evacuated: router.directory().evacuations().evacuated().count() as u64,
        hosts: hosts as u64,
        is_reader: u64::from(host.is_reader()),
        links: link_gauges(host),
        callers: host.node.open_connections() as u64,
        requests: host.node.active_requests() as u64,
        quarantined: router.quarantine().len() as u64,
        slowness: router
            .slowness_by_service(now)
            .into_iter()
            .map(|(service, it)| (service.to_string(), it))
            .collect(),
        retry_budgets: budgets
            .into_iter()
            .map(|(service, left)| (service.to_string(), left))
            .collect(),
        rollouts: router
            .rollouts()
            .map(|it| (it.order.service.to_string(), it.share(now), it.pooled()))
            .collect(),
    }
}
