//! Checks of callers' outcomes against the stand-ins' records.

use std::collections::BTreeMap;

use super::caller::Story;
use super::plan::State;

/// Maximum time, in milliseconds, for which hosts act on the old configuration after a change was
/// accepted.
pub(super) const IN_FORCE_MS: u64 = 5_000;

/// The stand-ins' records.
pub(super) struct Records {
    /// Start times of the executions in milliseconds since the Unix epoch, by the caller's name for
    /// its call.
    pub(super) executions: BTreeMap<String, Vec<u64>>,
    /// Number of billing records by key.
    pub(super) bills: BTreeMap<String, usize>,
    /// Start times of the executions of the version that is withdrawn and restored.
    pub(super) withdrawn_version: Vec<u64>,
}

/// A time span in which a version must not start an execution, in milliseconds since the Unix
/// epoch.
#[derive(Clone, Copy, Debug)]
pub(super) struct Span {
    pub(super) from: u64,
    pub(super) to: u64,
}

/// Returns the spans in which the version was withdrawn on all hosts. A thawed host may act on the
/// old configuration for as long after the thaw as after the change itself.
pub(super) fn spans(changes: &[(u64, State)], thaws: &[u64], end: u64) -> Vec<Span> {
    let mut spans = Vec::new();
    for (idx, (at, state)) in changes.iter().enumerate() {
        if *state == State::Active {
            continue;
        }
        let to = changes.get(idx + 1).map_or(end, |(at, _)| *at);
        let mut from = at + IN_FORCE_MS;
        for thaw in thaws.iter().filter(|it| (*at..to).contains(it)) {
            if *thaw > from {
                spans.push(Span { from, to: *thaw });
            }
            from = from.max(thaw + IN_FORCE_MS);
        }
        spans.push(Span { from, to });
    }
    spans
}

/// Returns the violations, one line each.
pub(super) fn faults(stories: &[Story], records: &Records, spans: &[Span]) -> Vec<String> {
    let mut faults = Vec::new();
    for story in stories {
        at_most_once(story, records, &mut faults);
        billed_once(story, records, &mut faults);
        not_run(story, records, &mut faults);
        whole(story, &mut faults);
    }
    for at in &records.withdrawn_version {
        if spans.iter().any(|it| (it.from..it.to).contains(at)) {
            faults.push(format!("big@2 got work at {at} while withdrawn"));
        }
    }
    faults
}

fn at_most_once(story: &Story, records: &Records, faults: &mut Vec<String>) {
    let ran = records.executions.get(&story.job.key).map_or(0, Vec::len);
    if story.job.kind.is_at_most_once() && ran > 1 {
        faults.push(format!("{} ran {ran} times: {story:?}", story.job.key));
    }
}

fn billed_once(story: &Story, records: &Records, faults: &mut Vec<String>) {
    let bills = records.bills.get(&story.job.key).copied().unwrap_or(0);
    let wrong = if story.is_answered() {
        bills != 1
    } else {
        bills > 1
    };
    if wrong {
        faults.push(format!("{} billed {bills} times: {story:?}", story.job.key));
    }
}

fn not_run(story: &Story, records: &Records, faults: &mut Vec<String>) {
    let started = records.executions.get(&story.job.key);
    for told in story.told.iter().filter(|it| it.line.contains("not_run")) {
        if started.into_iter().flatten().any(|it| *it < told.at_ms) {
            let (key, line) = (&story.job.key, &told.line);
            faults.push(format!("{key} had run, and was told `{line}`: {story:?}"));
        }
    }
}

fn whole(story: &Story, faults: &mut Vec<String>) {
    for told in story.told.iter().filter(|it| it.is_answer()) {
        let foreign = told.call.as_ref().is_some_and(|it| *it != story.job.key);
        if told.line.contains("NO") || told.line.contains("WRONG") || foreign {
            faults.push(format!("{} got another answer: {told:?}", story.job.key));
        }
    }
}
