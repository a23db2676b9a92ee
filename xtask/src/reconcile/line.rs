//! Rows of the report, one per kind of work.

use std::collections::{BTreeMap, BTreeSet};

use fakes::Mark;

use crate::caller::{Answer, Call, End};
use crate::reconcile::Evidence;
use crate::reconcile::tally::{is_own, percentiles};
use crate::workload::Kind;

/// The figures of one kind of work.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// The kind.
    pub kind: Kind,
    /// Number of calls.
    pub calls: u64,
    /// Number of calls with a complete response of their own.
    pub answered: u64,
    /// Number of these responses that the engines marked as good.
    pub good: u64,
    /// Number of calls with more than one try.
    pub repeated: u64,
    /// The cost of the executions in microcents, according to the engines.
    pub microcents: u64,
    /// The billed amount in microcents.
    pub billed: u64,
    /// Number of answered calls without a billing record.
    pub unbilled: u64,
    /// The median duration of the answered calls in milliseconds.
    pub p50_ms: f64,
    /// The 99th percentile of the durations in milliseconds.
    pub p99_ms: f64,
    /// Number of calls that ended with a refusal, by reason.
    pub refusals: BTreeMap<String, u64>,
    /// Number of lost calls, by reason.
    pub losses: BTreeMap<String, u64>,
}

/// Returns the lines of all kinds.
#[must_use]
pub fn lines(calls: &[Call], evidence: &Evidence) -> Vec<Line> {
    Kind::ALL
        .iter()
        .map(|kind| line(*kind, calls, evidence))
        .collect()
}

fn line(kind: Kind, calls: &[Call], evidence: &Evidence) -> Line {
    let calls: BTreeMap<_, _> = calls
        .iter()
        .filter(|it| it.kind == kind)
        .map(|it| (it.name.as_str(), it))
        .collect();
    let answers: Vec<_> = calls.values().filter_map(|it| own(it)).collect();
    let times: Vec<_> = answers.iter().map(|(call, _)| call.took).collect();
    let (p50_ms, p99_ms) = percentiles(&times);
    let is_good = |answer: &Answer| Mark::parse(&answer.text).is_some_and(|it| it.good);
    let mut line = Line {
        kind,
        calls: calls.len() as u64,
        answered: answers.len() as u64,
        good: answers.iter().filter(|(_, it)| is_good(it)).count() as u64,
        repeated: calls.values().filter(|it| it.tries.len() > 1).count() as u64,
        microcents: evidence
            .executions
            .iter()
            .filter(|it| calls.contains_key(it.call.as_str()))
            .map(|it| it.cost_microcents)
            .sum(),
        billed: evidence
            .bills
            .iter()
            .filter(|it| calls.contains_key(it.key.as_str()))
            .map(|it| it.microcents)
            .sum(),
        unbilled: unbilled(&answers, evidence),
        p50_ms,
        p99_ms,
        refusals: BTreeMap::new(),
        losses: BTreeMap::new(),
    };
    for call in calls.values() {
        match call.end() {
            End::Refused(it) => {
                *line.refusals.entry(it.reason.to_string()).or_default() += 1;
            }
            End::Failed(why) => *line.losses.entry(why.clone()).or_default() += 1,
            End::Answered(answer) if !is_own(call, answer) => {
                let why = "incomplete response or response to another call".to_owned();
                *line.losses.entry(why).or_default() += 1;
            }
            End::Answered(_) => {}
        }
    }
    line
}

fn unbilled(answers: &[(&Call, &Answer)], evidence: &Evidence) -> u64 {
    let billed: BTreeSet<_> = evidence
        .bills
        .iter()
        .map(|it| (it.customer.as_str(), it.key.as_str()))
        .collect();
    let is_unbilled = |call: &Call| !billed.contains(&(call.customer, call.name.as_str()));
    answers.iter().filter(|(it, _)| is_unbilled(it)).count() as u64
}

fn own(call: &Call) -> Option<(&Call, &Answer)> {
    match call.end() {
        End::Answered(answer) if is_own(call, answer) => Some((call, answer)),
        _ => None,
    }
}
