//! Follows the stored verdicts on roll-outs, and writes the verdicts of this host.

use std::rc::Rc;
use std::time::Duration;

use async_std::task::sleep;
use forward::{Dialect, Node};
use route::rollout::{Record, Verdict};
use route::{Revision, Rollout};
use telemetry::{Event, Value};

use super::{is_of_another_era, wait_for_config, wait_to_read};
use crate::host::Host;
use crate::{Backoff, Documents, RolloutVerdict, Store, StoreError, report, succession};

/// Wait of a long poll for verdicts. Each poll is billed. An open one proves nothing: a verdict
/// whose poll is lost arrives with other hosts' updates, or as a conflict with this host's own.
const LONG_POLL_WAIT: Duration = Duration::from_secs(5);
/// Interval at which roll-outs are evaluated.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(100);
/// Delay per rank before a host writes a verdict. The first host writes, and the others
/// learn of it before their delay has passed.
const RANK_DELAY: Duration = Duration::from_millis(300);

pub(crate) async fn follow<S: Store, D: Dialect>(host: Rc<Host<S, D>>) {
    wait_for_config(&host).await;
    let mut since: Option<Revision> = None;
    let mut backoff = Backoff::default();
    loop {
        // Each poll is billed, and without a roll-out there is nothing to learn from it.
        let has_rollouts = host.node.router().rollouts().next().is_some();
        if !has_rollouts || !host.should_read_store(host.config_confirmed.get()) {
            wait_to_read(&host).await;
            continue;
        }
        since = since.filter(|it| it.era == host.store.era());
        let began = host.node.now();
        let call = host.store.verdicts(since, LONG_POLL_WAIT);
        let result = match since {
            None => Some(call.await),
            Some(_) => host.verdicts_poll.run(began, call).await,
        };
        let Some(result) = result else {
            continue;
        };
        report::record_store_call(&host, "news of verdicts", began, &result);
        match result {
            Ok(documents) if is_of_another_era(since, documents.revision) => since = None,
            Ok(documents) => {
                backoff.reset();
                if since.is_none() {
                    forget_older_eras(&host, &documents);
                }
                since = Some(documents.revision.max(since.unwrap_or_default()));
                record(&host, documents.verdicts);
            }
            Err(StoreError::HistoryGone) => since = None,
            Err(_) => host.back_off(&mut backoff).await,
        }
    }
}

/// Forgets verdicts of earlier eras, which the store no longer has, so that they are
/// written again.
fn forget_older_eras<S: Store, D: Dialect>(host: &Host<S, D>, documents: &Documents) {
    let era = documents.revision.era;
    let is_current = |it: &RolloutVerdict| it.revision.is_some_and(|it| it.era >= era);
    host.verdicts.borrow_mut().retain(|_, it| is_current(it));
}

/// Records verdicts of the store that are newer than the known ones, and applies them.
pub(crate) fn record<S: Store, D: Dialect>(host: &Host<S, D>, verdicts: Vec<RolloutVerdict>) {
    let mut known = host.verdicts.borrow_mut();
    for it in verdicts {
        // The sender may not know yet that the store was restored without this verdict.
        if it.revision.is_some_and(|it| it.era < host.store.era()) {
            continue;
        }
        let before = known.get(&it.service).map(|it| it.revision);
        if before.is_none_or(|before| it.revision > before) {
            known.insert(it.service.clone(), it);
        }
    }
    drop(known);
    apply(host);
}

/// Applies the store's verdicts to the roll-outs in progress.
pub(crate) fn apply<S: Store, D: Dialect>(host: &Host<S, D>) {
    let mut router = host.node.router();
    for it in host.verdicts.borrow().values() {
        let changed = router.apply_verdict(&it.service, &it.release, it.verdict, it.revision);
        if let Some(rollout) = changed {
            log_verdict(host, rollout, "the store");
        }
    }
}

/// Logs a verdict with the evidence for it.
pub(crate) fn log_verdict<S: Store, D: Dialect>(
    host: &Host<S, D>,
    rollout: &Rollout,
    source: &str,
) {
    log_evidence(host, Event::RolloutJudged, rollout, source);
}

/// Logs an event of a roll-out with the evidence of all hosts. Latencies are given as the mean ratio
/// of the new release's to the old one's, and as the slow responses of all, of the new and the old
/// release.
fn log_evidence<S: Store, D: Dialect>(
    host: &Host<S, D>,
    event: Event,
    rollout: &Rollout,
    source: &str,
) {
    let pooled = rollout.pooled();
    host.recorder().log_event(
        event,
        &[
            ("service", Value::Text(&rollout.order.service)),
            ("release", Value::Text(&rollout.order.release)),
            ("verdict", Value::Text(&rollout.verdict)),
            ("source", Value::Text(&source)),
            ("new_answers", Value::Count(pooled.new.responses.into())),
            ("new_bad", Value::Count(pooled.new.failures.into())),
            (
                "crowded_answers",
                Value::Count(pooled.crowded.responses.into()),
            ),
            ("crowded_bad", Value::Count(pooled.crowded.failures.into())),
            ("old_answers", Value::Count(pooled.old.responses.into())),
            ("old_bad", Value::Count(pooled.old.failures.into())),
            ("start_ratio", Value::Text(&pooled.response_start)),
            ("relative_start_ratio", Value::Text(&pooled.relative_start)),
            ("interval_ratio", Value::Text(&pooled.event_interval)),
            ("slow_starts", Value::Text(&pooled.slow_starts)),
            ("slow_intervals", Value::Text(&pooled.slow_intervals)),
        ],
    );
}

/// Writes the verdicts on roll-outs to the store.
pub(crate) async fn write_all<S: Store, D: Dialect>(host: Rc<Host<S, D>>) {
    loop {
        sleep(EVALUATION_INTERVAL).await;
        let unwritten_verdicts = unwritten_verdicts(&host.node, &host);
        let Some(delay) = succession::write_delay(host.rank(), RANK_DELAY) else {
            continue;
        };
        for (it, record) in unwritten_verdicts {
            sleep(delay).await;
            // Another host may have written it meanwhile.
            let is_known = host
                .verdicts
                .borrow()
                .get(&it.service)
                .is_some_and(|known| {
                    let is_same = known.release == it.release && known.verdict == it.verdict;
                    is_same && known.revision != it.revision
                });
            if !is_known {
                write(&host, it, &record).await;
            }
        }
    }
}

async fn write<S: Store, D: Dialect>(
    host: &Host<S, D>,
    rollout_verdict: RolloutVerdict,
    rollout_record: &Record,
) {
    let began = host.node.now();
    let written = host
        .store
        .write_verdict(&rollout_verdict, rollout_record)
        .await;
    report::record_store_call(host, "judge", began, &written);
    match written {
        Ok(revision) => {
            host.recorder().log_event(
                Event::RolloutWritten,
                &[
                    ("service", Value::Text(&rollout_verdict.service)),
                    ("release", Value::Text(&rollout_verdict.release)),
                    ("verdict", Value::Text(&rollout_verdict.verdict)),
                ],
            );
            let service = rollout_verdict.service.clone();
            let revision = revision.or(rollout_verdict.revision);
            let written = RolloutVerdict {
                revision,
                ..rollout_verdict
            };
            host.verdicts.borrow_mut().insert(service, written);
        }
        Err(StoreError::Conflict) => {
            let began = host.node.now();
            let found = host.store.verdicts(None, Duration::ZERO).await;
            report::record_store_call(host, "verdicts", began, &found);
            if let Ok(found) = found {
                forget_older_eras(host, &found);
                record(host, found.verdicts);
            }
        }
        // The next evaluation of the roll-out retries the write.
        Err(_) => {}
    }
}

/// Updates the roll-outs, and returns the verdicts that have to be written to the store, with the
/// roll-outs' records.
fn unwritten_verdicts<S: Store, D: Dialect>(
    node: &Node<D>,
    host: &Host<S, D>,
) -> Vec<(RolloutVerdict, Record)> {
    let now = node.now();
    let mut router = node.router();
    let known = host.verdicts.borrow();
    let mut unwritten_verdicts = Vec::new();
    for rollout in router.rollouts() {
        if rollout.try_end_trial(now) {
            log_evidence(host, Event::TrialEnding, rollout, "own evidence");
            host.schedule_update();
        }
        let found = rollout.own_verdict(now);
        if found == Some(Verdict::Reverted) {
            // Applied before it is written to the store, which may be unavailable.
            rollout.verdict = Verdict::Reverted;
            log_verdict(host, rollout, "own evidence");
            host.schedule_update();
        }
        let service = &rollout.order.service;
        let written = known.get(service);
        // One that is older than the order is that of an earlier roll-out of the same release.
        let is_written = written.is_some_and(|it| {
            let is_newer = |revision| revision > rollout.order.revision;
            it.release == rollout.order.release && it.revision.is_none_or(is_newer)
        });
        let verdict = match (found, is_written) {
            (Some(found), _) => found,
            (None, false) => rollout.verdict,
            (None, true) if rollout.verdict == Verdict::Reverted => rollout.verdict,
            // The store was restored to a state before the verdict was written.
            (None, true) if rollout.initial_revision().era < host.store.era() => rollout.verdict,
            (None, true) => continue,
        };
        if is_written && written.is_some_and(|it| it.verdict == verdict) {
            continue;
        }
        let unwritten = RolloutVerdict {
            service: service.clone(),
            release: rollout.order.release.clone(),
            verdict,
            revision: written.and_then(|it| it.revision),
        };
        unwritten_verdicts.push((unwritten, rollout.record(now)));
    }
    unwritten_verdicts
}
