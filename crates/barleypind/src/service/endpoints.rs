//! The registry of endpoints, fed by the platform's host list, the endpoints' load reports and
//! other hosts' announcements.

use std::collections::HashMap;
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use async_std::task;
use clients::{HostList, Kind};
use decide::endpoint::{Distance, Id, Load, Role, State, Update};
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use kernel::{HostName, Incarnation, VersionId};
use wire::EndpointState;

use crate::event::Event;
use crate::host::Host;
use crate::service::decide::DeciderHandle;
use crate::service::fleet;

/// Maximum number of concurrent requests of [`Endpoints::poll`].
const MAX_CONCURRENT_POLLS: usize = 16;
/// Minimum interval between two requests of [`watch_load`], to limit control traffic.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(125);
/// Timeout of a request for a load report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(800);
/// Number of consecutive missed reports after which an endpoint gets no new requests.
const MAX_MISSED_REPORTS: u32 = 3;

/// An endpoint and its known state.
#[derive(Clone, Debug)]
pub(crate) struct Endpoint {
    pub(crate) name: HostName,
    pub(crate) target: engine::Endpoint,
    pub(crate) role: Role,
    pub(crate) distance: Distance,
    /// Whether the endpoint rejects orders with an old fencing number.
    pub(crate) fencing: Fencing,
    /// The versions that the endpoint may load, according to the host list.
    pub(crate) may_load: Arc<[VersionId]>,
    state: State,
    load: Option<Load>,
    missed_reports: u32,
}

impl Endpoint {
    /// Returns whether the endpoint is an engine that has this version loaded.
    pub(crate) fn has_loaded(&self, version: &VersionId) -> bool {
        matches!(&self.role, Role::Engine(versions) if versions.contains(version))
    }

    fn id(&self) -> Id {
        Id::new(&self.name, self.target.incarnation)
    }

    fn update(&self) -> Update {
        Update {
            id: self.id(),
            role: self.role.clone(),
            distance: self.distance,
            state: self.state,
            load: self.load,
        }
    }
}

/// Whether an endpoint checks the fencing number of orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fencing {
    Checks,
    Ignores,
}

/// The endpoints known to this host.
pub(crate) struct Endpoints {
    host: Arc<Host>,
    decider: Arc<DeciderHandle>,
    engine: engine::Client,
    known: RwLock<HashMap<Id, Endpoint>>,
}

impl Endpoints {
    pub(crate) fn new(
        host: Arc<Host>,
        decider: Arc<DeciderHandle>,
        engine: engine::Client,
    ) -> Self {
        Self {
            host,
            decider,
            engine,
            known: RwLock::default(),
        }
    }

    /// Returns the endpoint with this identity.
    pub(crate) fn get(&self, id: Id) -> Option<Endpoint> {
        self.read().get(&id).cloned()
    }

    /// Returns all live endpoints.
    pub(crate) fn live(&self) -> Vec<Endpoint> {
        let known = self.read();
        known
            .values()
            .filter(|it| it.state == State::Live)
            .cloned()
            .collect()
    }

    /// Applies the platform's host list.
    ///
    /// The list lags behind, so it never reverts what an endpoint itself reported: a leaving
    /// endpoint stays so as long as it is listed under this incarnation.
    pub(crate) fn apply_host_list(&self, hosts: &[clients::Host]) {
        let listed: Vec<_> = hosts.iter().filter_map(|it| self.endpoint_of(it)).collect();
        let mut known = self.write();
        let gone: Vec<Id> = known
            .keys()
            .filter(|id| !listed.iter().any(|it| it.id() == **id))
            .copied()
            .collect();
        let mut updates = Vec::new();
        for id in gone {
            if let Some(mut endpoint) = known.remove(&id) {
                endpoint.state = State::Gone;
                updates.push(endpoint.update());
            }
        }
        for endpoint in listed {
            match known.get_mut(&endpoint.id()) {
                None => {
                    self.host.log.emit(
                        Event::EndpointUp,
                        &[
                            ("endpoint", &endpoint.name),
                            ("incarnation", &endpoint.target.incarnation),
                        ],
                    );
                    updates.push(endpoint.update());
                    known.insert(endpoint.id(), endpoint);
                }
                Some(old) if old.state == State::Live && endpoint.state == State::Leaving => {
                    old.state = State::Leaving;
                    self.log_unavailable(&old.name);
                    updates.push(old.update());
                }
                Some(_) => {}
            }
        }
        drop(known);
        self.publish(updates);
    }

    /// Records an endpoint's state that an attempt revealed, and announces it to the other hosts,
    /// which see it in the platform's list only later.
    pub(crate) fn report_state(&self, name: &HostName, incarnation: Incarnation, state: State) {
        self.record_state(name, incarnation, state);
        self.announce(name, incarnation, state);
    }

    /// Records an endpoint's state that an attempt revealed or another host announced. Only applies
    /// to endpoints in state `Live`.
    pub(crate) fn record_state(&self, name: &HostName, incarnation: Incarnation, state: State) {
        let id = Id::new(name, incarnation);
        let mut known = self.write();
        let Some(endpoint) = known.get_mut(&id) else {
            return;
        };
        if endpoint.state == State::Live && state != State::Live {
            endpoint.state = state;
            self.log_unavailable(name);
            let update = endpoint.update();
            drop(known);
            self.publish(vec![update]);
        }
    }

    /// Requests a load report from every endpoint once.
    pub(crate) async fn poll(&self) {
        let endpoints: Vec<Endpoint> = self.read().values().cloned().collect();
        let mut waiting = endpoints.into_iter();
        let mut polls: FuturesUnordered<_> = waiting
            .by_ref()
            .take(MAX_CONCURRENT_POLLS)
            .map(|it| self.report(it))
            .collect();
        while polls.next().await.is_some() {
            if let Some(next) = waiting.next() {
                polls.push(self.report(next));
            }
        }
    }

    /// Returns the endpoints whose load is polled: those that the decider sends to, and those
    /// that are gone, to detect their return.
    fn watched(&self) -> Vec<Endpoint> {
        let ids = self.decider.watched();
        let known = self.read();
        let sent_to = ids.iter().filter_map(|id| known.get(id));
        let given_up = known.values().filter(|it| it.state == State::Gone);
        sent_to.chain(given_up).cloned().collect()
    }

    async fn report(&self, endpoint: Endpoint) {
        let options = http::Options {
            connect: REPORT_TIMEOUT,
            first_byte: REPORT_TIMEOUT,
            total: REPORT_TIMEOUT,
            retry_policy: http::RetryPolicy::Idempotent,
        };
        let report = self.engine.load(&endpoint.target, &options).await;
        let report = report
            .ok()
            .filter(|it| it.incarnation == endpoint.target.incarnation);
        let mut known = self.write();
        let Some(current) = known.get_mut(&endpoint.id()) else {
            return;
        };
        let before = current.state;
        match report {
            Some(report) => current.apply_report(report),
            None => current.count_missed_report(),
        }
        if before != current.state {
            let event = match current.state {
                State::Live => Event::EndpointUp,
                State::Leaving => Event::EndpointLeaving,
                State::Gone => Event::EndpointDown,
            };
            self.host.log.emit(event, &[("endpoint", &current.name)]);
            if current.state == State::Leaving {
                self.announce(&current.name, current.target.incarnation, State::Leaving);
            }
        }
        let update = current.update();
        drop(known);
        self.publish(vec![update]);
    }

    fn publish(&self, updates: Vec<Update>) {
        for update in updates {
            self.decider.handle(decide::Event::Endpoint(update));
        }
    }

    fn announce(&self, name: &HostName, incarnation: Incarnation, state: State) {
        let Some(fleet) = self.host.registry.find::<fleet::Fleet>() else {
            return;
        };
        let announcement = wire::Endpoint {
            host: name.clone(),
            incarnation,
            state: match state {
                State::Live => EndpointState::Live,
                State::Leaving => EndpointState::Leaving,
                State::Gone => EndpointState::Gone,
            },
        };
        // A dropped announcement does no harm: the host list and the load reports repeat it.
        let _ = fleet.offer(fleet::Message::Event(::fleet::Event::Endpoint(
            announcement,
        )));
    }

    fn log_unavailable(&self, name: &HostName) {
        self.host
            .log
            .emit(Event::EndpointLeaving, &[("endpoint", name)]);
    }

    fn endpoint_of(&self, host: &clients::Host) -> Option<Endpoint> {
        let role = match host.kind {
            Kind::Entry => return None,
            Kind::Engine => Role::Engine(host.versions.clone().into()),
            Kind::Service => Role::Service(host.service.clone()?),
        };
        let me = &self.host.settings.host;
        let distance = if host.data_centre == me.data_centre {
            Distance::DataCentre
        } else if host.region == me.region {
            Distance::Region
        } else {
            Distance::Far
        };
        Some(Endpoint {
            name: host.name.clone(),
            target: engine::Endpoint {
                address: host.address,
                incarnation: host.incarnation,
            },
            role,
            distance,
            fencing: if host.fences {
                Fencing::Checks
            } else {
                Fencing::Ignores
            },
            may_load: host.versions.clone().into(),
            state: match host.state {
                clients::State::Live => State::Live,
                clients::State::Leaving => State::Leaving,
            },
            load: None,
            missed_reports: 0,
        })
    }

    fn read(&self) -> std::sync::RwLockReadGuard<'_, HashMap<Id, Endpoint>> {
        self.known.read().unwrap_or_else(PoisonError::into_inner)
    }

    fn write(&self) -> std::sync::RwLockWriteGuard<'_, HashMap<Id, Endpoint>> {
        self.known.write().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Endpoint {
    fn apply_report(&mut self, report: engine::Load) {
        self.missed_reports = 0;
        self.state = match (self.state, report.state) {
            (State::Leaving, _) | (_, engine::State::Leaving) => State::Leaving,
            (_, engine::State::Live) => State::Live,
        };
        if let Role::Engine(versions) = &mut self.role {
            let loaded: Vec<VersionId> = report
                .versions
                .into_iter()
                .filter(|it| it.state == engine::VersionState::Loaded)
                .map(|it| it.id)
                .collect();
            *versions = loaded.into();
        }
        self.load = Some(Load {
            running: report.running,
            waiting: report.waiting,
            slots: report.slots,
            age: Duration::from_millis(report.age_ms),
        });
    }

    /// Counts a missed report. Several in a row mark the endpoint as gone until it reports again.
    fn count_missed_report(&mut self) {
        self.missed_reports = self.missed_reports.saturating_add(1);
        if self.missed_reports >= MAX_MISSED_REPORTS && self.state == State::Live {
            self.state = State::Gone;
        }
    }
}

/// Polls the platform's host list forever, and passes the entry hosts in it to `entries`.
pub(crate) async fn watch_list(
    host: Arc<Host>,
    list: HostList,
    endpoints: Arc<Endpoints>,
    entries: impl Fn(Vec<clients::Host>) + Send,
) {
    let mut unavailable = false;
    loop {
        match list.fetch().await {
            Ok(listing) => {
                unavailable = false;
                host.last_contact.record(host.now());
                endpoints.apply_host_list(&listing.hosts);
                let is_entry = |it: &clients::Host| it.kind == Kind::Entry;
                entries(listing.hosts.into_iter().filter(is_entry).collect());
            }
            Err(err) => {
                host.metrics.platform_failed("host_list");
                if !unavailable {
                    host.log.emit(Event::HostListOut, &[("cause", &err)]);
                }
                unavailable = true;
            }
        }
        task::sleep(host.settings.platform.host_list_poll).await;
    }
}

/// Requests load reports of the watched endpoints forever, starting one per interval. The interval
/// limits the cost for any number of endpoints.
pub(crate) async fn watch_load(host: Arc<Host>, endpoints: Arc<Endpoints>) {
    loop {
        let watched = endpoints.watched();
        let watched_none = watched.is_empty();
        let count = u32::try_from(watched.len().max(1)).unwrap_or(u32::MAX);
        let interval = (host.settings.decide.load_poll / count).max(MIN_REPORT_INTERVAL);
        for endpoint in watched {
            let endpoints = Arc::clone(&endpoints);
            task::spawn(async move { endpoints.report(endpoint).await });
            task::sleep(interval).await;
        }
        if watched_none {
            task::sleep(interval).await;
        }
    }
}
