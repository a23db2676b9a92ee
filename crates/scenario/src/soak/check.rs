//! Checks of callers' outcomes against the stand-ins' records.

use std::collections::BTreeMap;

use super::caller::CallHistory;
use super::steps::State;

/// Maximum time, in milliseconds, for which hosts act on the old configuration after a change was
/// accepted.
pub(super) const MAX_PROPAGATION_MS: u64 = 5_000;

/// The stand-ins' records.
pub(super) struct Records {
    /// Start times of the executions in milliseconds since the Unix epoch, by the caller's name for
    /// its call.
    pub(super) executions: BTreeMap<String, Vec<u64>>,
    /// Number of billing records by key.
    pub(super) bills: BTreeMap<String, usize>,
    /// Start times of the executions of the version that is withdrawn and restored.
    pub(super) withdrawn_version_starts: Vec<u64>,
}

/// A time span in which no execution of the version may start, in milliseconds since the Unix
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
        let mut from = at + MAX_PROPAGATION_MS;
        for thaw in thaws.iter().filter(|it| (*at..to).contains(it)) {
            if *thaw > from {
                spans.push(Span { from, to: *thaw });
            }
            from = from.max(thaw + MAX_PROPAGATION_MS);
        }
        spans.push(Span { from, to });
    }
    spans
}

/// Returns the violations, one line each.
pub(super) fn violations(
    histories: &[CallHistory],
    records: &Records,
    spans: &[Span],
) -> Vec<String> {
    let mut violations = Vec::new();
    for history in histories {
        check_at_most_once(history, records, &mut violations);
        check_billed_once(history, records, &mut violations);
        check_not_run_responses(history, records, &mut violations);
        check_responses(history, &mut violations);
    }
    for at in &records.withdrawn_version_starts {
        if spans.iter().any(|it| (it.from..it.to).contains(at)) {
            violations.push(format!("big@2 was executed at {at} while withdrawn"));
        }
    }
    violations
}

fn check_at_most_once(history: &CallHistory, records: &Records, violations: &mut Vec<String>) {
    let count = records
        .executions
        .get(&history.spec.key)
        .map_or(0, Vec::len);
    if history.spec.kind.is_at_most_once() && count > 1 {
        violations.push(format!(
            "{} ran {count} times: {history:?}",
            history.spec.key
        ));
    }
}

fn check_billed_once(history: &CallHistory, records: &Records, violations: &mut Vec<String>) {
    let bills = records.bills.get(&history.spec.key).copied().unwrap_or(0);
    let wrong = if history.has_succeeded() {
        bills != 1
    } else {
        bills > 1
    };
    if wrong {
        violations.push(format!(
            "{} billed {bills} times: {history:?}",
            history.spec.key
        ));
    }
}

/// Adds a violation for each response with `not_run` after an execution had started.
fn check_not_run_responses(history: &CallHistory, records: &Records, violations: &mut Vec<String>) {
    let started = records.executions.get(&history.spec.key);
    for outcome in history
        .outcomes
        .iter()
        .filter(|it| it.line.contains("not_run"))
    {
        if started.into_iter().flatten().any(|it| *it < outcome.at_ms) {
            let (key, line) = (&history.spec.key, &outcome.line);
            violations.push(format!(
                "{key} was executed before the response `{line}`: {history:?}"
            ));
        }
    }
}

fn check_responses(history: &CallHistory, violations: &mut Vec<String>) {
    for outcome in history.outcomes.iter().filter(|it| it.is_success()) {
        let is_of_other_call = outcome
            .call
            .as_ref()
            .is_some_and(|it| *it != history.spec.key);
        if outcome.line.contains("NO") || outcome.line.contains("WRONG") || is_of_other_call {
            violations.push(format!(
                "{} got a wrong or incomplete response: {outcome:?}",
                history.spec.key
            ));
        }
    }
}
