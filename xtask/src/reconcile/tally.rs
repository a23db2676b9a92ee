//! The figures of one run.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use fakes::Mark;
use gate::problem;
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::caller::{Answer, Call, End};
use crate::reconcile::Evidence;
use crate::workload::{Repeat, Route};

const DIGITS: u8 = 3;
/// Upper bound of the histogram, one hour. Longer times are recorded as this value.
const LONGEST_US: u64 = 3_600_000_000;

/// The figures, which are serialized as the report's last line.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Tally {
    /// Calls with a complete response of their own.
    pub answered: u64,
    /// Calls that ended with a refusal.
    pub refused: u64,
    /// Refusals that reported "not run" although the request or call was executed.
    pub not_run_but_ran: u64,
    /// Calls without a response or with an incomplete response or one to another call.
    pub lost: u64,
    /// At-most-once calls that ran more than once.
    pub doubled: u64,
    /// Calls with more than one billing record.
    pub billed_twice: u64,
    /// Executions on a version that the customer does not allow, or of an unknown call.
    pub disallowed: u64,
    /// Seconds from the acceptance of a withdrawal to the last start of an execution on the
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
    pub fn count(calls: &[Call], evidence: &Evidence) -> Self {
        let ran = Ran::new(evidence);
        let mut tally = Self {
            billed_twice: billed_twice(calls, evidence),
            disallowed: disallowed(calls, evidence),
            withdrawn_after_s: withdrawn_after(evidence),
            ..Self::default()
        };
        let mut times = Vec::new();
        for call in calls {
            match call.end() {
                End::Answered(answer) if is_own(call, answer) => {
                    tally.answered += 1;
                    times.push(call.took);
                }
                End::Answered(_) | End::Failed(_) => tally.lost += 1,
                End::Refused(_) => tally.refused += 1,
            }
            tally.not_run_but_ran += not_run_but_ran(call, &ran);
            let once = call.kind.repeat() == Repeat::AtMostOnce;
            tally.doubled += u64::from(once && ran.times(&call.name) > 1);
        }
        (tally.p50_ms, tally.p99_ms) = percentiles(&times);
        tally
    }
}

/// Index of the executions by the caller's name of the call and by the host's id of the request.
struct Ran<'a> {
    by_call: BTreeMap<&'a str, u64>,
    requests: BTreeSet<&'a str>,
}

impl<'a> Ran<'a> {
    fn new(evidence: &'a Evidence) -> Self {
        let chats = evidence.executions.iter().map(|it| (&it.call, &it.request));
        let plain = evidence.runs.iter().map(|it| (&it.call, &it.request));
        let mut ran = Self {
            by_call: BTreeMap::new(),
            requests: BTreeSet::new(),
        };
        for (call, request) in chats.chain(plain) {
            *ran.by_call.entry(call).or_default() += 1;
            ran.requests.insert(request);
        }
        ran
    }

    fn times(&self, call: &str) -> u64 {
        self.by_call.get(call).copied().unwrap_or(0)
    }
}

/// Returns the number of refusals of this call that reported "not run" wrongly: an endpoint
/// executed the refused request, or all tries got such a refusal and an endpoint executed the call.
fn not_run_but_ran(call: &Call, ran: &Ran<'_>) -> u64 {
    let claims: Vec<_> = call
        .tries
        .iter()
        .filter_map(|it| match &it.end {
            End::Refused(refusal) if refusal.run == problem::Run::NotRun => Some(refusal),
            _ => None,
        })
        .collect();
    let named = claims
        .iter()
        .filter(|it| !it.request.is_empty() && ran.requests.contains(it.request.as_str()))
        .count() as u64;
    let all_claimed = claims.len() == call.tries.len();
    let on_record = ran.times(&call.name) > 0;
    named.max(u64::from(all_claimed && on_record))
}

/// Returns whether the response is the complete output of one attempt of this call.
pub(crate) fn is_own(call: &Call, answer: &Answer) -> bool {
    match call.kind.route() {
        Route::Plain { .. } => answer.text == call.name,
        Route::Chat { .. } => {
            let own = Mark::parse(&answer.text).is_some_and(|it| it.call == call.name);
            own && Mark::is_whole(&answer.text)
        }
    }
}

fn billed_twice(calls: &[Call], evidence: &Evidence) -> u64 {
    let mut bills: BTreeMap<(&str, &str), u64> = BTreeMap::new();
    for bill in &evidence.bills {
        *bills.entry((&bill.customer, &bill.key)).or_default() += 1;
    }
    let twice = |it: &&Call| bills.get(&(it.customer, it.name.as_str())).copied() > Some(1);
    calls.iter().filter(twice).count() as u64
}

fn disallowed(calls: &[Call], evidence: &Evidence) -> u64 {
    let by_name: BTreeMap<_, _> = calls.iter().map(|it| (it.name.as_str(), it)).collect();
    let is_disallowed = |version: &str, call: &str| {
        let Some(call) = by_name.get(call) else {
            return true;
        };
        match call.kind.route() {
            Route::Plain { .. } => true,
            Route::Chat { profile, .. } => {
                !evidence.allowed.contains(call.customer, profile, version)
            }
        }
    };
    evidence
        .executions
        .iter()
        .filter(|it| is_disallowed(&it.version, &it.call))
        .count() as u64
}

fn withdrawn_after(evidence: &Evidence) -> f64 {
    let Some(withdrawal) = &evidence.withdrawal else {
        return 0.0;
    };
    let last = evidence
        .executions
        .iter()
        .filter(|it| it.version == withdrawal.version)
        .map(|it| it.started_ms.saturating_sub(withdrawal.accepted_ms))
        .max();
    Duration::from_millis(last.unwrap_or(0)).as_secs_f64()
}

/// Returns the median and the 99th percentile in milliseconds.
pub(crate) fn percentiles(times: &[Duration]) -> (f64, f64) {
    let mut histogram = Histogram::<u64>::new_with_bounds(1, LONGEST_US, DIGITS)
        .expect("the bounds and digits are valid");
    for time in times {
        histogram.saturating_record(u64::try_from(time.as_micros()).unwrap_or(u64::MAX));
    }
    let millis = |quantile| {
        Duration::from_micros(histogram.value_at_quantile(quantile)).as_secs_f64() * 1000.0
    };
    (millis(0.5), millis(0.99))
}
