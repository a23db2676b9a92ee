//! Rows of the report, one per kind of work.

use std::collections::{BTreeMap, BTreeSet};

use fakes::Mark;

use crate::caller::{Call, CallResponse, Outcome};
use crate::reconcile::SiteRecords;
use crate::reconcile::tally::{is_complete_response, percentiles};
use crate::workload::Kind;

/// The figures of one kind of work.
#[derive(Clone, Debug, PartialEq)]
pub struct KindRow {
    /// The kind.
    pub kind: Kind,
    /// Number of calls.
    pub calls: u64,
    /// Number of calls with a complete response that belongs to them.
    pub answered: u64,
    /// Number of these responses that the engines marked as good.
    pub good: u64,
    /// Number of calls with more than one try.
    pub retried: u64,
    /// The cost of the executions in microcents, according to the engines.
    pub cost_microcents: u64,
    /// The billed amount in microcents.
    pub billed_microcents: u64,
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

/// Returns the rows of all kinds.
#[must_use]
pub fn rows_by_kind(calls: &[Call], site_records: &SiteRecords) -> Vec<KindRow> {
    Kind::ALL
        .iter()
        .map(|kind| kind_row(*kind, calls, site_records))
        .collect()
}

fn kind_row(kind: Kind, calls: &[Call], site_records: &SiteRecords) -> KindRow {
    let calls: BTreeMap<_, _> = calls
        .iter()
        .filter(|it| it.kind == kind)
        .map(|it| (it.name.as_str(), it))
        .collect();
    let responses: Vec<_> = calls.values().filter_map(|it| completed(it)).collect();
    let durations: Vec<_> = responses.iter().map(|(call, _)| call.duration).collect();
    let (p50_ms, p99_ms) = percentiles(&durations);
    let is_good = |response: &CallResponse| Mark::parse(&response.text).is_some_and(|it| it.good);
    let mut row = KindRow {
        kind,
        calls: calls.len() as u64,
        answered: responses.len() as u64,
        good: responses.iter().filter(|(_, it)| is_good(it)).count() as u64,
        retried: calls.values().filter(|it| it.tries.len() > 1).count() as u64,
        cost_microcents: site_records
            .executions
            .iter()
            .filter(|it| calls.contains_key(it.call.as_str()))
            .map(|it| it.cost_microcents)
            .sum(),
        billed_microcents: site_records
            .billing_records
            .iter()
            .filter(|it| calls.contains_key(it.key.as_str()))
            .map(|it| it.microcents)
            .sum(),
        unbilled: unbilled(&responses, site_records),
        p50_ms,
        p99_ms,
        refusals: BTreeMap::new(),
        losses: BTreeMap::new(),
    };
    for call in calls.values() {
        match call.outcome() {
            Outcome::Refused(it) => {
                *row.refusals.entry(it.reason.to_string()).or_default() += 1;
            }
            Outcome::Failed(reason) => *row.losses.entry(reason.clone()).or_default() += 1,
            Outcome::Completed(response) if !is_complete_response(call, response) => {
                let reason = "incomplete response or response to another call".to_owned();
                *row.losses.entry(reason).or_default() += 1;
            }
            Outcome::Completed(_) => {}
        }
    }
    row
}

fn unbilled(responses: &[(&Call, &CallResponse)], site_records: &SiteRecords) -> u64 {
    let billed: BTreeSet<_> = site_records
        .billing_records
        .iter()
        .map(|it| (it.customer.as_str(), it.key.as_str()))
        .collect();
    let is_unbilled = |call: &Call| !billed.contains(&(call.customer, call.name.as_str()));
    responses.iter().filter(|(it, _)| is_unbilled(it)).count() as u64
}

fn completed(call: &Call) -> Option<(&Call, &CallResponse)> {
    match call.outcome() {
        Outcome::Completed(response) if is_complete_response(call, response) => {
            Some((call, response))
        }
        _ => None,
    }
}
