//! Fault detection and quarantine for one version.

use std::time::Duration;

use crate::action::{Cause, Verdict};
use crate::cusum::Cusum;
use crate::endpoint;
use crate::evidence::BUCKETS;
use crate::histogram::Bucket;

/// The fractions of responses made bad by the faults that are tested for: a
/// partial fault and one of nearly all responses.
const FAULT_SHARES: [f64; 2] = [0.2, 0.9];
/// The CUSUM threshold for failures. By Lorden's bound a healthy version is quarantined less than
/// once in `e^12` (160 thousand) observations.
const ERROR_THRESHOLD: f64 = 12.0;
/// The CUSUM threshold of confidence and ratings for a partial fault. Higher than the others, since
/// confidence shows a partial fault less clearly.
const PARTIAL_FAULT_THRESHOLD: f64 = 18.0;
/// The CUSUM threshold of confidence and ratings for a fault of nearly all responses.
const FULL_FAULT_THRESHOLD: f64 = 16.0;
/// Responses that the baseline confidence distribution needs before confidence is
/// tested for partial faults.
const MIN_BASELINE_FOR_PARTIAL_FAULT: f64 = 200.0;
/// Caps the log-likelihood ratio of one failure, so that a quarantine takes at least
/// five failures.
const MAX_FAILURE_LOG_RATIO: f64 = 2.5;
/// Caps the log-likelihood ratio of one response's confidence, because the
/// baseline frequency of the lowest buckets is only a rough estimate.
const MAX_CONFIDENCE_LOG_RATIO: f64 = 1.8;
/// The failure rate of the prior in [`Monitor::failure_rate`].
const PRIOR_FAILURE_RATE: f64 = 0.01;
/// A time per token of more than this many times the usual one is evidence of a fault.
const SLOWDOWN_RATIO: f64 = 3.0;
/// Bounds the contribution of one response to the latency statistic.
const MAX_LATENCY_LOG_RATIO: f64 = 1.0;
/// The CUSUM threshold for latency.
const LATENCY_THRESHOLD: f64 = 5.0;
/// The pause before the first probe of a quarantine; doubled after failed probes.
const INITIAL_PROBE_DELAY: Duration = Duration::from_secs(10);
/// The longest pause after failed probes.
const MAX_PROBE_DELAY: Duration = Duration::from_mins(10);
/// The least time between two probes of a version by this host.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// The log-likelihood ratio of recovery at which a quarantine ends.
const RECOVERY_THRESHOLD: f64 = 6.0;
/// The log-likelihood ratio of recovery at which the pause before the next probe is
/// doubled.
const PROBE_FAILURE_THRESHOLD: f64 = -3.0;

/// Detects faults of one version from the outcomes of this host and those that
/// other hosts publish. See `docs/design/decide-health.md`.
#[derive(Clone, Debug, Default)]
pub(crate) struct Monitor {
    errors: Cusum,
    latency: Cusum,
    quality: [Cusum; FAULT_SHARES.len()],
    /// The first two distinct endpoints with failures since the version was last marked
    /// healthy.
    failed_endpoints: [Option<endpoint::Id>; 2],
    last_failed: Option<endpoint::Id>,
    /// Failures since the last complete response, including those at other hosts.
    consecutive_failures: f64,
    outcomes: f64,
    failures: f64,
    totals: Totals,
    quarantine: Option<Quarantine>,
}

/// Counts of responses and ratings, without decay.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Totals {
    pub(crate) responses: f64,
    pub(crate) ratings: f64,
}

/// The state of a quarantine.
#[derive(Clone, Copy, Debug)]
struct Quarantine {
    cause: Cause,
    /// The fraction of responses that the fault is assumed to make bad.
    fault_share: f64,
    started_at: Duration,
    probe_delay: Duration,
    next_probe: Duration,
    /// The log-likelihood ratio of recovery against a persisting fault, over the
    /// outcomes and ratings since the quarantine began or the pause was last doubled.
    log_ratio: f64,
}

/// The expected failure rate of a healthy version under current conditions.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FailureBaseline {
    pub(crate) failure_rate: f64,
    /// Live endpoints of the version that this host knows.
    pub(crate) endpoints: usize,
}

/// The extent of a suspected fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FaultScope {
    /// Fewer than half of the other versions are affected, or there is no other to
    /// compare with.
    OneVersion,
    /// At least half of the other versions are affected, so the cause is probably
    /// external.
    Shared,
}

impl Monitor {
    pub(crate) fn verdict(&self) -> Verdict {
        self.quarantine
            .map_or(Verdict::Healthy, |it| Verdict::Quarantined(it.cause))
    }

    pub(crate) fn is_quarantined(&self) -> bool {
        self.quarantine.is_some()
    }

    /// Returns whether failures or quality already suggest a fault.
    pub(crate) fn is_suspect(&self) -> bool {
        self.max_statistic() > ERROR_THRESHOLD / 3.0
    }

    /// Returns the highest CUSUM statistic of failures and quality.
    pub(crate) fn max_statistic(&self) -> f64 {
        let quality = self.quality.iter().map(|it| it.sum());
        quality.fold(self.errors.sum(), f64::max)
    }

    /// Returns the decayed number of outcomes.
    pub(crate) fn outcomes(&self) -> f64 {
        self.outcomes
    }

    /// Returns the failure rate, smoothed by a prior worth 20 outcomes.
    pub(crate) fn failure_rate(&self) -> f64 {
        (self.failures + PRIOR_FAILURE_RATE * 20.0) / (self.outcomes + 20.0)
    }

    pub(crate) fn totals(&self) -> Totals {
        self.totals
    }

    /// Returns whether a probe of a quarantined version is due, and schedules the next.
    pub(crate) fn take_probe(&mut self, now: Duration) -> bool {
        let Some(it) = self.quarantine.as_mut() else {
            return false;
        };
        let due = now >= it.next_probe;
        if due {
            it.next_probe = now + PROBE_INTERVAL;
        }
        due
    }

    /// Records complete responses.
    pub(crate) fn record_responses(&mut self, now: Duration, normal: FailureBaseline, count: f64) {
        self.count_outcomes(count, 0.0);
        self.totals.responses += count;
        self.consecutive_failures = 0.0;
        let ratio = |fault_share| {
            (1.0 - rate_with_fault(normal.failure_rate, fault_share)).ln()
                - (1.0 - normal.failure_rate).ln()
        };
        self.errors.add(ratio(FAULT_SHARES[0]), count);
        if self.cause() == Some(Cause::Errors) {
            self.record_in_quarantine(now, -ratio(self.fault_share()) * count);
        }
    }

    /// Records `count` failures at these endpoints.
    pub(crate) fn record_failures(
        &mut self,
        now: Duration,
        normal: FailureBaseline,
        count: f64,
        failed_at: &[Option<endpoint::Id>],
    ) {
        self.count_outcomes(count, count);
        self.consecutive_failures += count;
        let repeated = !failed_at
            .iter()
            .flatten()
            .any(|it| self.last_failed != Some(*it));
        for id in failed_at.iter().flatten() {
            self.record_failed_endpoint(*id);
        }
        if self.cause() == Some(Cause::Errors) {
            return self.record_in_quarantine(now, -2.0 * count);
        }
        let ratio =
            (rate_with_fault(normal.failure_rate, FAULT_SHARES[0]) / normal.failure_rate).ln();
        // If the version has at least two live endpoints, failures at the endpoint that
        // failed last, or at an unknown one, can't raise the statistic to the threshold
        // on their own, so that one broken endpoint doesn't quarantine the version.
        let has_few_endpoints = normal.endpoints < 2;
        let limit = if repeated && !has_few_endpoints {
            0.6 * ERROR_THRESHOLD
        } else {
            f64::MAX
        };
        self.errors
            .add_capped(limit, ratio.min(MAX_FAILURE_LOG_RATIO), count);
        // A version with fewer than two endpoints can't fail at several.
        let at_several_endpoints = has_few_endpoints || self.failed_endpoints[1].is_some();
        if self.errors.sum() >= ERROR_THRESHOLD && at_several_endpoints {
            // Several failures in a row suggest a fault of nearly all responses.
            let fault_share = FAULT_SHARES[usize::from(self.consecutive_failures >= 4.0)];
            self.quarantine(now, Cause::Errors, fault_share, INITIAL_PROBE_DELAY);
        }
    }

    /// Records the confidence of `count` responses.
    pub(crate) fn record_confidence(
        &mut self,
        now: Duration,
        seen: &ConfidenceObservation,
        count: f64,
    ) {
        let at = seen.bucket.index();
        // Bounded below, because the ratio divides by it.
        let normal = seen.normal[at].max(0.004);
        let ratio = |fault_share: f64| {
            let ratio = (1.0 - fault_share) + fault_share * seen.bad[at] / normal;
            ratio.ln().min(MAX_CONFIDENCE_LOG_RATIO)
        };
        if let Some(it) = self.quarantine {
            if matches!(it.cause, Cause::Ratings | Cause::Confidence) {
                self.record_in_quarantine(now, -0.5 * ratio(it.fault_share) * count);
            }
            return;
        }
        let [partial, full] = &mut self.quality;
        if seen.responses >= MIN_BASELINE_FOR_PARTIAL_FAULT {
            partial.add_unordered(ratio(FAULT_SHARES[0]), count);
        }
        full.add_unordered(ratio(FAULT_SHARES[1]), count);
        if seen.order == Order::Known {
            self.end_batch(now, seen.scope);
        }
    }

    /// Records a response whose time per token was `ratio` times the usual one.
    pub(crate) fn record_token_time(&mut self, now: Duration, scope: FaultScope, ratio: f64) {
        let log_ratio = (ratio / SLOWDOWN_RATIO).ln();
        if self.cause() == Some(Cause::Latency) {
            return self.record_in_quarantine(now, -log_ratio.clamp(-1.0, 1.0));
        }
        self.latency.add(
            log_ratio.clamp(-MAX_LATENCY_LOG_RATIO, MAX_LATENCY_LOG_RATIO),
            1.0,
        );
        if self.latency.sum() >= LATENCY_THRESHOLD && scope == FaultScope::OneVersion {
            self.quarantine(now, Cause::Latency, FAULT_SHARES[1], INITIAL_PROBE_DELAY);
        }
    }

    /// Returns whether latency already suggests a fault.
    pub(crate) fn is_slow(&self) -> bool {
        self.latency.sum() > LATENCY_THRESHOLD / 2.0
    }

    /// Ends a batch of unordered responses and tests for a quality fault.
    pub(crate) fn end_batch(&mut self, now: Duration, scope: FaultScope) {
        self.quality.iter_mut().for_each(Cusum::end_batch);
        self.test_quality(now, scope, Cause::Confidence);
    }

    /// Records ratings.
    pub(crate) fn record_ratings(&mut self, now: Duration, seen: &RatingObservation) {
        self.totals.ratings += seen.good + seen.bad;
        let normal = seen.normal.clamp(0.02, 0.98);
        let ratio = |fault_share| {
            let bad_rate = rate_with_fault(normal, fault_share);
            seen.bad * (bad_rate / normal).ln()
                + seen.good * ((1.0 - bad_rate) / (1.0 - normal)).ln()
        };
        if let Some(it) = self.quarantine {
            // Ratings arrive minutes late. Those of responses from before the quarantine,
            // or of an unknown time (from other hosts), are ignored: they would end it
            // although the fault persists.
            let answered_in_quarantine = seen.answered.is_some_and(|at| at >= it.started_at);
            if answered_in_quarantine && matches!(it.cause, Cause::Ratings | Cause::Confidence) {
                self.record_in_quarantine(now, -ratio(it.fault_share));
            }
            return;
        }
        for (cusum, fault_share) in self.quality.iter_mut().zip(FAULT_SHARES) {
            cusum.add(ratio(fault_share), 1.0);
        }
        self.test_quality(now, seen.scope, Cause::Ratings);
    }

    /// Quarantines the version, unless it is quarantined already.
    pub(crate) fn quarantine(
        &mut self,
        now: Duration,
        cause: Cause,
        fault_share: f64,
        probe_delay: Duration,
    ) {
        if self.quarantine.is_some() {
            return;
        }
        self.quarantine = Some(Quarantine {
            cause,
            fault_share,
            started_at: now,
            probe_delay,
            next_probe: now + probe_delay,
            log_ratio: 0.0,
        });
    }

    /// Applies another host's verdict.
    pub(crate) fn adopt(&mut self, now: Duration, verdict: Verdict) {
        match verdict {
            Verdict::Healthy => self.mark_healthy(),
            Verdict::Quarantined(cause) => {
                self.quarantine(now, cause, FAULT_SHARES[1], INITIAL_PROBE_DELAY);
            }
        }
    }

    fn test_quality(&mut self, now: Duration, scope: FaultScope, cause: Cause) {
        if self.is_quarantined() {
            return;
        }
        let scale = match scope {
            FaultScope::OneVersion => 1.0,
            FaultScope::Shared => 4.0,
        };
        let [partial, full] = self.quality;
        if full.sum() >= scale * FULL_FAULT_THRESHOLD {
            self.quarantine(now, cause, FAULT_SHARES[1], INITIAL_PROBE_DELAY);
        } else if partial.sum() >= scale * PARTIAL_FAULT_THRESHOLD {
            self.quarantine(now, cause, FAULT_SHARES[0], INITIAL_PROBE_DELAY);
        }
    }

    /// Adds evidence seen during a quarantine, from probes and all other requests; a
    /// positive `ratio` is evidence of recovery.
    fn record_in_quarantine(&mut self, now: Duration, ratio: f64) {
        let Some(it) = self.quarantine.as_mut() else {
            return;
        };
        it.log_ratio += ratio;
        if it.log_ratio >= RECOVERY_THRESHOLD {
            self.mark_healthy();
        } else if it.log_ratio <= PROBE_FAILURE_THRESHOLD {
            it.log_ratio = 0.0;
            it.probe_delay = (it.probe_delay * 2).min(MAX_PROBE_DELAY);
            it.next_probe = now + it.probe_delay;
        }
    }

    fn mark_healthy(&mut self) {
        self.quarantine = None;
        self.failed_endpoints = [None; 2];
        self.errors.reset();
        self.latency.reset();
        self.quality.iter_mut().for_each(Cusum::reset);
    }

    fn cause(&self) -> Option<Cause> {
        self.quarantine.map(|it| it.cause)
    }

    fn fault_share(&self) -> f64 {
        self.quarantine.map_or(FAULT_SHARES[0], |it| it.fault_share)
    }

    fn record_failed_endpoint(&mut self, id: endpoint::Id) {
        self.last_failed = Some(id);
        let [first, second] = &mut self.failed_endpoints;
        match (*first, *second) {
            (None, _) => *first = Some(id),
            (Some(it), None) if it != id => *second = Some(id),
            _ => {}
        }
    }

    fn count_outcomes(&mut self, outcomes: f64, failures: f64) {
        const OUTCOME_DECAY_THRESHOLD: f64 = 500.0;
        if self.outcomes >= OUTCOME_DECAY_THRESHOLD {
            // Bounded, so that a large batch doesn't erase the history.
            let keep = 1.0 - outcomes.min(100.0) / OUTCOME_DECAY_THRESHOLD;
            self.outcomes *= keep;
            self.failures *= keep;
        }
        self.outcomes += outcomes;
        self.failures += failures;
    }
}

/// The confidence bucket of a response, with the distributions that it is tested against.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConfidenceObservation {
    pub(crate) bucket: Bucket,
    /// The baseline distribution.
    pub(crate) normal: [f64; BUCKETS],
    /// The distribution over bad responses.
    pub(crate) bad: [f64; BUCKETS],
    /// The number of responses that `normal` is estimated from.
    pub(crate) responses: f64,
    pub(crate) scope: FaultScope,
    pub(crate) order: Order,
}

/// Whether the order of observations is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Order {
    Known,
    /// Part of another host's batch, which [`Monitor::end_batch`] ends.
    Unknown,
}

/// Ratings, with the baseline that they are tested against.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RatingObservation {
    pub(crate) good: f64,
    pub(crate) bad: f64,
    /// The expected fraction of bad ratings.
    pub(crate) normal: f64,
    pub(crate) scope: FaultScope,
    /// The time at which the responses were received, if known.
    pub(crate) answered: Option<Duration>,
}

/// Returns the rate of failures or bad ratings when a fault affects a fraction
/// `fault_share` of the responses that would otherwise be good.
fn rate_with_fault(normal: f64, fault_share: f64) -> f64 {
    normal + fault_share * (1.0 - normal)
}
