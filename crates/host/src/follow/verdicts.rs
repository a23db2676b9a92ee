//! Follows the stored verdicts on roll-outs, and writes the verdicts of this host.

use std::rc::Rc;
use std::time::Duration;

use async_std::task::sleep;
use forward::{Dialect, Node};
use route::rollout::Verdict;
use route::{Revision, Rollout};
use telemetry::{Event, Value};

use super::{
    LONG_POLL_TIMEOUT, is_of_another_era, unless_restarted, wait_for_config, wait_to_read,
};
use crate::life::Life;
use crate::{Backoff, Documents, Judgement, Store, Trouble, report};

/// Interval at which roll-outs are evaluated.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(100);
/// Delay per rank before a host writes a verdict. The first host writes, and the others
/// learn of it before their delay has passed.
const RANK_DELAY: Duration = Duration::from_millis(300);
/// Rank from which on the delay no longer grows.
const MAX_DELAYED_RANKS: usize = 8;

pub(crate) async fn follow<S: Store, D: Dialect>(life: Rc<Life<S, D>>) {
    wait_for_config(&life).await;
    let mut since: Option<Revision> = None;
    let mut backoff = Backoff::default();
    loop {
        if !life.asks_store(life.confirmed.get()) {
            wait_to_read(&life).await;
            continue;
        }
        since = since.filter(|it| it.era == life.store.era());
        let began = life.node.now();
        let call = life.store.judgements(since, LONG_POLL_TIMEOUT);
        let Some(result) = unless_restarted(&life.returns[1].1, call).await else {
            continue;
        };
        report::record_store_call(&life, "news of verdicts", began, &result);
        match result {
            Ok(documents) if is_of_another_era(since, documents.revision) => since = None,
            Ok(documents) => {
                backoff.reset();
                if since.is_none() {
                    forget_older_eras(&life, &documents);
                }
                since = Some(documents.revision.max(since.unwrap_or_default()));
                take(&life, documents.judgements);
            }
            Err(Trouble::HistoryGone) => since = None,
            Err(_) => life.back_off(&mut backoff).await,
        }
    }
}

/// Forgets verdicts of earlier eras, which the store no longer has, so that they are
/// written again.
fn forget_older_eras<S: Store, D: Dialect>(life: &Life<S, D>, documents: &Documents) {
    let era = documents.revision.era;
    let is_current = |it: &Judgement| it.revision.is_some_and(|it| it.era >= era);
    life.judgements.borrow_mut().retain(|_, it| is_current(it));
}

/// Records verdicts of the store that are newer than the known ones, and applies them.
pub(crate) fn take<S: Store, D: Dialect>(life: &Life<S, D>, judgements: Vec<Judgement>) {
    let mut known = life.judgements.borrow_mut();
    for it in judgements {
        // The sender may not know yet that the store was restored without this verdict.
        if it.revision.is_some_and(|it| it.era < life.store.era()) {
            continue;
        }
        let before = known.get(&it.service).map(|it| it.revision);
        if before.is_none_or(|before| it.revision > before) {
            known.insert(it.service.clone(), it);
        }
    }
    drop(known);
    apply(life);
}

/// Applies the store's verdicts to the roll-outs in progress.
pub(crate) fn apply<S: Store, D: Dialect>(life: &Life<S, D>) {
    let mut router = life.node.router();
    for it in life.judgements.borrow().values() {
        if let Some(rollout) = router.rollout(&it.service)
            && rollout.order.release == it.release
            && it.verdict != Verdict::Running
            && it.verdict != rollout.verdict
        {
            rollout.verdict = it.verdict;
            say_verdict(life, rollout, "the store");
        }
    }
}

/// Logs a verdict with the evidence for it.
pub(crate) fn say_verdict<S: Store, D: Dialect>(
    life: &Life<S, D>,
    rollout: &Rollout,
    source: &str,
) {
    let pooled = rollout.pooled();
    life.recorder().log_event(
        Event::RolloutJudged,
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
        ],
    );
}

/// Writes the verdicts on roll-outs to the store.
pub(crate) async fn write_all<S: Store, D: Dialect>(life: Rc<Life<S, D>>) {
    loop {
        sleep(EVALUATION_INTERVAL).await;
        let unwritten_verdicts = unwritten_verdicts(&life.node, &life);
        for it in unwritten_verdicts {
            let delayed_ranks =
                u32::try_from(life.rank().min(MAX_DELAYED_RANKS)).unwrap_or_default();
            sleep(RANK_DELAY * delayed_ranks).await;
            let is_known = life
                .judgements
                .borrow()
                .get(&it.service)
                .is_some_and(|known| known.release == it.release && known.verdict == it.verdict);
            if !is_known {
                write(&life, it).await;
            }
        }
    }
}

async fn write<S: Store, D: Dialect>(life: &Life<S, D>, judgement: Judgement) {
    let began = life.node.now();
    let written = life.store.judge(&judgement).await;
    report::record_store_call(life, "judge", began, &written);
    match written {
        Ok(()) => {
            life.recorder().log_event(
                Event::RolloutWritten,
                &[
                    ("service", Value::Text(&judgement.service)),
                    ("release", Value::Text(&judgement.release)),
                    ("verdict", Value::Text(&judgement.verdict)),
                ],
            );
            let service = judgement.service.clone();
            life.judgements.borrow_mut().insert(service, judgement);
        }
        Err(Trouble::Conflict) => {
            let began = life.node.now();
            let found = life.store.judgements(None, Duration::ZERO).await;
            report::record_store_call(life, "verdicts", began, &found);
            if let Ok(found) = found {
                forget_older_eras(life, &found);
                take(life, found.judgements);
            }
        }
        // The next evaluation of the roll-out retries the write.
        Err(_) => {}
    }
}

/// Updates the roll-outs, and returns the verdicts that have to be written to the store.
fn unwritten_verdicts<S: Store, D: Dialect>(node: &Node<D>, life: &Life<S, D>) -> Vec<Judgement> {
    let now = node.now();
    let mut router = node.router();
    let known = life.judgements.borrow();
    let mut unwritten_verdicts = Vec::new();
    for rollout in router.rollouts() {
        if rollout.try_end_trial(now) {
            life.hurry();
        }
        let found = rollout.own_verdict(now);
        if found == Some(Verdict::Reverted) {
            // Applied before it is written to the store, which may be unavailable.
            rollout.verdict = Verdict::Reverted;
            say_verdict(life, rollout, "own evidence");
            life.hurry();
        }
        let service = &rollout.order.service;
        let written = known.get(service);
        let is_written = written.is_some_and(|it| it.release == rollout.order.release);
        let verdict = match (found, is_written) {
            (Some(found), _) => found,
            (None, false) => rollout.verdict,
            (None, true) if rollout.verdict == Verdict::Reverted => rollout.verdict,
            // The store was restored to a state before the verdict was written.
            (None, true) if rollout.initial_revision().era < life.store.era() => rollout.verdict,
            (None, true) => continue,
        };
        if is_written && written.is_some_and(|it| it.verdict == verdict) {
            continue;
        }
        unwritten_verdicts.push(Judgement {
            service: service.clone(),
            release: rollout.order.release.clone(),
            verdict,
            revision: written.and_then(|it| it.revision),
        });
    }
    unwritten_verdicts
}
