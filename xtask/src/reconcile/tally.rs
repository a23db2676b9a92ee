//! The figures of one run.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use fakes::Mark;
use gate::problem;
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::caller::{Call, CallResponse, Outcome};
use crate::reconcile::SiteRecords;
use crate::workload::{CallRetryPolicy, Route};

const SIGNIFICANT_DIGITS: u8 = 3;
/// Upper bound of the histogram, one hour. Longer times are recorded as this value.
const MAX_DURATION_US: u64 = 3_600_000_000;

/// The figures, which are serialized as the report's last line.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Tally {
    /// Calls with a complete response that belongs to them.
    pub answered: u64,
    /// Calls that ended with a refusal.
    pub refused: u64,
    /// Refusals that reported "not run" although the request or call was executed.
    pub not_run_but_ran: u64,
    /// Calls without a response or with an incomplete response or one to another call.
    pub lost: u64,
    /// At-most-once calls that ran more than once.
    pub doubled: u64,
    /// Calls with more than one billing record under their customer and idempotency key.
    pub billed_twice: u64,
    /// Executions on a version that may not serve the customer under the profile, or of an unknown
    /// call or a call of a plain service.
    pub disallowed: u64,
    /// Seconds from the response to a withdrawal to the last start of an execution on the
    /// version; 0 without a withdrawal or a later start.
    pub withdrawn_after_s: f64,
    /// The median duration of the answered calls in milliseconds.
    pub p50_ms: f64,
    /// The 99th percentile of the durations in milliseconds.
    pub p99_ms: f64,
}

impl Tally {
    /// Computes the figures of a run.
    #[must_use]
    pub fn count(calls: &[Call], site_records: &SiteRecords) -> Self {
        let index = ExecutionIndex::new(site_records);
        let mut tally = Self {
            billed_twice: billed_twice(calls, site_records),
            disallowed: disallowed(calls, site_records),
            withdrawn_after_s: withdrawn_after(site_records),
            ..Self::default()
        };
        let mut durations = Vec::new();
        for call in calls {
            match call.outcome() {
                Outcome::Completed(response) if is_complete_response(call, response) => {
                    tally.answered += 1;
                    durations.push(call.duration);
                }
                Outcome::Completed(_) | Outcome::Failed(_) => tally.lost += 1,
                Outcome::Refused(_) => tally.refused += 1,
            }
            tally.not_run_but_ran += not_run_but_ran(call, &index);
            let at_most_once = call.kind.retry_policy() == CallRetryPolicy::AtMostOnce;
            tally.doubled += u64::from(at_most_once && index.executions_of(&call.name) > 1);
        }
        (tally.p50_ms, tally.p99_ms) = percentiles(&durations);
        tally
    }
}

/// Index of the executions by the caller's name of the call and by the host's id of the request.
struct ExecutionIndex<'a> {
    executions_by_call: BTreeMap<&'a str, u64>,
    requests: BTreeSet<&'a str>,
}

impl<'a> ExecutionIndex<'a> {
    fn new(site_records: &'a SiteRecords) -> Self {
        let chats = site_records
            .executions
            .iter()
            .map(|it| (&it.call, &it.request));
        let plain = site_records
            .service_executions
            .iter()
            .map(|it| (&it.call, &it.request));
        let mut index = Self {
            executions_by_call: BTreeMap::new(),
            requests: BTreeSet::new(),
        };
        for (call, request) in chats.chain(plain) {
            *index.executions_by_call.entry(call).or_default() += 1;
            index.requests.insert(request);
        }
        index
    }

    fn executions_of(&self, call: &str) -> u64 {
        self.executions_by_call.get(call).copied().unwrap_or(0)
    }
}

/// Returns the number of tries refused as "not run" whose request an endpoint executed. Returns 1
/// if there is none, but all tries were refused as "not run" and an endpoint executed the call.
fn not_run_but_ran(call: &Call, index: &ExecutionIndex<'_>) -> u64 {
    let not_run_refusals: Vec<_> = call
        .tries
        .iter()
        .filter_map(|it| match &it.outcome {
            Outcome::Refused(refusal) if refusal.run == problem::Run::NotRun => Some(refusal),
            _ => None,
        })
        .collect();
    let executed_requests = not_run_refusals
        .iter()
        .filter(|it| !it.request.is_empty() && index.requests.contains(it.request.as_str()))
        .count() as u64;
    let all_refused_as_not_run = not_run_refusals.len() == call.tries.len();
    let call_was_executed = index.executions_of(&call.name) > 0;
    executed_requests.max(u64::from(all_refused_as_not_run && call_was_executed))
}

/// Returns whether the response is the complete output of one attempt of this call.
pub(crate) fn is_complete_response(call: &Call, response: &CallResponse) -> bool {
    match call.kind.route() {
        Route::Plain { .. } => response.text == call.name,
        Route::Chat { .. } => {
            let is_own_mark = Mark::parse(&response.text).is_some_and(|it| it.call == call.name);
            is_own_mark && Mark::is_whole(&response.text)
        }
    }
}

fn billed_twice(calls: &[Call], site_records: &SiteRecords) -> u64 {
    let mut billing_records: BTreeMap<(&str, &str), u64> = BTreeMap::new();
    for billing_record in &site_records.billing_records {
        *billing_records
            .entry((&billing_record.customer, &billing_record.key))
            .or_default() += 1;
    }
    let is_billed_twice = |it: &&Call| {
        billing_records
            .get(&(it.customer, it.name.as_str()))
            .copied()
            > Some(1)
    };
    calls.iter().filter(is_billed_twice).count() as u64
}

fn disallowed(calls: &[Call], site_records: &SiteRecords) -> u64 {
    let by_name: BTreeMap<_, _> = calls.iter().map(|it| (it.name.as_str(), it)).collect();
    let is_disallowed = |version: &str, call: &str| {
        let Some(call) = by_name.get(call) else {
            return true;
        };
        match call.kind.route() {
            Route::Plain { .. } => true,
            Route::Chat { profile, .. } => {
                !site_records
                    .allowed
                    .contains(call.customer, profile, version)
            }
        }
    };
    site_records
        .executions
        .iter()
        .filter(|it| is_disallowed(&it.version, &it.call))
        .count() as u64
}

fn withdrawn_after(site_records: &SiteRecords) -> f64 {
    let Some(withdrawal) = &site_records.withdrawal else {
        return 0.0;
    };
    let last = site_records
        .executions
        .iter()
        .filter(|it| it.version == withdrawal.version)
        .map(|it| it.started_ms.saturating_sub(withdrawal.accepted_ms))
        .max();
    Duration::from_millis(last.unwrap_or(0)).as_secs_f64()
}

/// Returns the median and the 99th percentile in milliseconds.
pub(crate) fn percentiles(durations: &[Duration]) -> (f64, f64) {
    let mut histogram = Histogram::<u64>::new_with_bounds(1, MAX_DURATION_US, SIGNIFICANT_DIGITS)
        .expect("the bounds and digits are valid");
    for duration in durations {
        histogram.saturating_record(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX));
    }
    let millis = |quantile| {
        Duration::from_micros(histogram.value_at_quantile(quantile)).as_secs_f64() * 1000.0
    };
    (millis(0.5), millis(0.99))
}
