//! Fault detection and quarantine for one version.

use std::time::Duration;

use crate::action::{Cause, Verdict};
use crate::cusum::Cusum;
use crate::endpoint;
use crate::evidence::BUCKETS;
use crate::tally::Bucket;

/// The fractions of responses made bad by the faults that are tested for: a
/// partial fault and one of nearly all responses.
const SHARES: [f64; 2] = [0.2, 0.9];
/// The CUSUM threshold for failures. By Lorden's bound the false alarm rate is
/// below one in `e^12` observations.
const LIMIT: f64 = 12.0;
/// The CUSUM threshold for a partial fault, which has a weaker effect on confidence.
const PARTIAL_LIMIT: f64 = 18.0;
/// The CUSUM threshold for a fault of nearly all responses.
const WHOLE_LIMIT: f64 = 16.0;
/// Responses that the baseline confidence distribution needs before partial
/// faults are tested for.
const PARTIAL_ANSWERS: f64 = 200.0;
/// Caps the log-likelihood ratio of one failure, so that no single failure
/// quarantines a version.
const MOST_FOR_FAILURE: f64 = 2.5;
/// Caps the log-likelihood ratio of one response's confidence, because the
/// baseline frequency of the lowest buckets is only a rough estimate.
const MOST_FOR_ANSWER: f64 = 1.8;
/// The failure rate of the prior in [`Monitor::failure_share`].
const FAILURE_FLOOR: f64 = 0.01;
/// A time per token of more than this many times the usual one is evidence of a fault.
const SLOW: f64 = 3.0;
/// Bounds the contribution of one response to the latency statistic.
const SLOW_MOST: f64 = 1.0;
/// The CUSUM threshold for latency.
const SLOW_LIMIT: f64 = 5.0;
/// The time from the start of a quarantine to its first probe.
const FIRST_HOLD: Duration = Duration::from_secs(10);
/// The longest pause after failed probes.
const LONGEST_HOLD: Duration = Duration::from_mins(10);
/// The least time between two probes of a version by this host.
const PROBE_EVERY: Duration = Duration::from_secs(1);
/// The log-likelihood ratio of the probes at which a quarantine ends.
const PASS: f64 = 6.0;
/// The ratio at which the pause before the next probe is doubled.
const FAIL: f64 = -3.0;

/// Detects faults of one version from the outcomes of this host and those that
/// other hosts publish. See `docs/design/decide-health.md`.
#[derive(Clone, Debug, Default)]
pub(crate) struct Monitor {
    errors: Cusum,
    latency: Cusum,
    quality: [Cusum; SHARES.len()],
    /// The first two distinct endpoints with failures since the last reset.
    failed_at: [Option<endpoint::Id>; 2],
    last_failed: Option<endpoint::Id>,
    /// Consecutive failures.
    streak: f64,
    outcomes: f64,
    failures: f64,
    totals: Totals,
    quarantine: Option<Quarantine>,
}

/// Counts of responses and ratings, without decay.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Totals {
    pub(crate) answers: f64,
    pub(crate) ratings: f64,
}

/// The state of a quarantine.
#[derive(Clone, Copy, Debug)]
struct Quarantine {
    cause: Cause,
    /// The fraction of responses that the fault is assumed to make bad.
    share: f64,
    since: Duration,
    hold: Duration,
    next_probe: Duration,
    /// The log-likelihood ratio of recovery against a persisting fault, over the
    /// probes so far.
    passed: f64,
}

/// The expected failure rate of a healthy version under current conditions.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Normal {
    pub(crate) errors: f64,
    /// Live endpoints of the version that this host knows.
    pub(crate) endpoints: usize,
}

/// The extent of a suspected fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Scope {
    /// Other versions are mostly unaffected.
    Own,
    /// Many other versions are affected, so the cause is probably external.
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
        self.suspicion() > LIMIT / 3.0
    }

    /// Returns the highest CUSUM statistic of failures and quality.
    pub(crate) fn suspicion(&self) -> f64 {
        let quality = self.quality.iter().map(|it| it.sum());
        quality.fold(self.errors.sum(), f64::max)
    }

    /// Returns the decayed number of outcomes.
    pub(crate) fn outcomes(&self) -> f64 {
        self.outcomes
    }

    /// Returns the smoothed failure rate.
    pub(crate) fn failure_share(&self) -> f64 {
        (self.failures + FAILURE_FLOOR * 20.0) / (self.outcomes + 20.0)
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
            it.next_probe = now + PROBE_EVERY;
        }
        due
    }

    /// Records complete responses.
    pub(crate) fn answered(&mut self, now: Duration, normal: Normal, count: f64) {
        self.remember(count, 0.0);
        self.totals.answers += count;
        self.streak = 0.0;
        let ratio = |share| (1.0 - failing(normal.errors, share)).ln() - (1.0 - normal.errors).ln();
        self.errors.add(ratio(SHARES[0]), count);
        if self.cause() == Some(Cause::Errors) {
            self.probed(now, -ratio(self.share()) * count);
        }
    }

    /// Records `count` failures at these endpoints.
    pub(crate) fn failed(
        &mut self,
        now: Duration,
        normal: Normal,
        count: f64,
        places: &[Option<endpoint::Id>],
    ) {
        self.remember(count, count);
        self.streak += count;
        let repeated = !places
            .iter()
            .flatten()
            .any(|it| self.last_failed != Some(*it));
        for place in places.iter().flatten() {
            self.failed_at(*place);
        }
        if self.cause() == Some(Cause::Errors) {
            return self.probed(now, -2.0 * count);
        }
        let ratio = (failing(normal.errors, SHARES[0]) / normal.errors).ln();
        // Repeated failures of one broken endpoint mustn't quarantine the version,
        // so they can't raise the statistic to the threshold on their own.
        let alone = normal.endpoints < 2;
        let most = if repeated && !alone {
            0.6 * LIMIT
        } else {
            f64::MAX
        };
        self.errors
            .add_up_to(most, ratio.min(MOST_FOR_FAILURE), count);
        let spread = alone || self.failed_at[1].is_some();
        if self.errors.sum() >= LIMIT && spread {
            let share = SHARES[usize::from(self.streak >= 4.0)];
            self.quarantine(now, Cause::Errors, share, FIRST_HOLD);
        }
    }

    /// Records the confidence of `count` responses.
    pub(crate) fn confident(&mut self, now: Duration, seen: &Confidence, count: f64) {
        let at = seen.bucket.index();
        let normal = seen.normal[at].max(0.004);
        let ratio = |share: f64| {
            let ratio = (1.0 - share) + share * seen.bad[at] / normal;
            ratio.ln().min(MOST_FOR_ANSWER)
        };
        if let Some(it) = self.quarantine {
            if matches!(it.cause, Cause::Ratings | Cause::Confidence) {
                self.probed(now, -0.5 * ratio(it.share) * count);
            }
            return;
        }
        let [partial, whole] = &mut self.quality;
        if seen.answers >= PARTIAL_ANSWERS {
            partial.add_unordered(ratio(SHARES[0]), count);
        }
        whole.add_unordered(ratio(SHARES[1]), count);
        if seen.order == Order::Known {
            self.settle(now, seen.scope);
        }
    }

    /// Records a response whose time per token was `ratio` times the usual one.
    pub(crate) fn took(&mut self, now: Duration, scope: Scope, ratio: f64) {
        let doubt = (ratio / SLOW).ln();
        if self.cause() == Some(Cause::Latency) {
            return self.probed(now, -doubt.clamp(-1.0, 1.0));
        }
        self.latency.add(doubt.clamp(-SLOW_MOST, SLOW_MOST), 1.0);
        if self.latency.sum() >= SLOW_LIMIT && scope == Scope::Own {
            self.quarantine(now, Cause::Latency, SHARES[1], FIRST_HOLD);
        }
    }

    /// Returns whether latency already suggests a fault.
    pub(crate) fn is_slow(&self) -> bool {
        self.latency.sum() > SLOW_LIMIT / 2.0
    }

    /// Ends a batch of unordered responses and tests for a quality fault.
    pub(crate) fn settle(&mut self, now: Duration, scope: Scope) {
        self.quality.iter_mut().for_each(Cusum::settle);
        self.judge(now, scope, Cause::Confidence);
    }

    /// Records ratings.
    pub(crate) fn rated(&mut self, now: Duration, seen: &Ratings) {
        self.totals.ratings += seen.good + seen.bad;
        let normal = seen.normal.clamp(0.02, 0.98);
        let ratio = |share| {
            let spoilt = failing(normal, share);
            seen.bad * (spoilt / normal).ln() + seen.good * ((1.0 - spoilt) / (1.0 - normal)).ln()
        };
        if let Some(it) = self.quarantine {
            // Ratings arrive minutes late. Ratings of responses from before the
            // quarantine would end it although the fault persists.
            let probe = seen.answered.is_some_and(|at| at >= it.since);
            if probe && matches!(it.cause, Cause::Ratings | Cause::Confidence) {
                self.probed(now, -ratio(it.share));
            }
            return;
        }
        for (cusum, share) in self.quality.iter_mut().zip(SHARES) {
            cusum.add(ratio(share), 1.0);
        }
        self.judge(now, seen.scope, Cause::Ratings);
    }

    /// Quarantines the version, unless it is quarantined already.
    pub(crate) fn quarantine(&mut self, now: Duration, cause: Cause, share: f64, hold: Duration) {
        if self.quarantine.is_some() {
            return;
        }
        self.quarantine = Some(Quarantine {
            cause,
            share,
            since: now,
            hold,
            next_probe: now + hold,
            passed: 0.0,
        });
    }

    /// Applies another host's verdict.
    pub(crate) fn adopt(&mut self, now: Duration, verdict: Verdict) {
        match verdict {
            Verdict::Healthy => self.restore(),
            Verdict::Quarantined(cause) => self.quarantine(now, cause, SHARES[1], FIRST_HOLD),
        }
    }

    fn judge(&mut self, now: Duration, scope: Scope, cause: Cause) {
        if self.is_quarantined() {
            return;
        }
        let scale = match scope {
            Scope::Own => 1.0,
            Scope::Shared => 4.0,
        };
        let [partial, whole] = self.quality;
        if whole.sum() >= scale * WHOLE_LIMIT {
            self.quarantine(now, cause, SHARES[1], FIRST_HOLD);
        } else if partial.sum() >= scale * PARTIAL_LIMIT {
            self.quarantine(now, cause, SHARES[0], FIRST_HOLD);
        }
    }

    /// Adds the result of a probe; a positive `ratio` is evidence of recovery.
    fn probed(&mut self, now: Duration, ratio: f64) {
        let Some(it) = self.quarantine.as_mut() else {
            return;
        };
        it.passed += ratio;
        if it.passed >= PASS {
            self.restore();
        } else if it.passed <= FAIL {
            it.passed = 0.0;
            it.hold = (it.hold * 2).min(LONGEST_HOLD);
            it.next_probe = now + it.hold;
        }
    }

    fn restore(&mut self) {
        self.quarantine = None;
        self.failed_at = [None; 2];
        self.errors.reset();
        self.latency.reset();
        self.quality.iter_mut().for_each(Cusum::reset);
    }

    fn cause(&self) -> Option<Cause> {
        self.quarantine.map(|it| it.cause)
    }

    fn share(&self) -> f64 {
        self.quarantine.map_or(SHARES[0], |it| it.share)
    }

    fn failed_at(&mut self, place: endpoint::Id) {
        self.last_failed = Some(place);
        let [first, second] = &mut self.failed_at;
        match (*first, *second) {
            (None, _) => *first = Some(place),
            (Some(it), None) if it != place => *second = Some(place),
            _ => {}
        }
    }

    fn remember(&mut self, outcomes: f64, failures: f64) {
        const MEMORY: f64 = 500.0;
        if self.outcomes >= MEMORY {
            let keep = 1.0 - outcomes.min(100.0) / MEMORY;
            self.outcomes *= keep;
            self.failures *= keep;
        }
        self.outcomes += outcomes;
        self.failures += failures;
    }
}

/// The confidence bucket of a response, with the distributions that it is tested against.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Confidence {
    pub(crate) bucket: Bucket,
    /// The baseline distribution.
    pub(crate) normal: [f64; BUCKETS],
    /// The distribution over bad responses.
    pub(crate) bad: [f64; BUCKETS],
    /// The number of responses that `normal` is estimated from.
    pub(crate) answers: f64,
    pub(crate) scope: Scope,
    pub(crate) order: Order,
}

/// Whether the order of observations is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Order {
    Known,
    /// Part of another host's batch, which [`Monitor::settle`] ends.
    Unknown,
}

/// Ratings, with the baseline that they are tested against.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ratings {
    pub(crate) good: f64,
    pub(crate) bad: f64,
    /// The expected fraction of bad ratings.
    pub(crate) normal: f64,
    pub(crate) scope: Scope,
    /// When the responses were received, if known.
    pub(crate) answered: Option<Duration>,
}

/// Returns the failure rate when a fault affects a fraction `share` of the
/// responses that would otherwise be good.
fn failing(normal: f64, share: f64) -> f64 {
    normal + share * (1.0 - normal)
}
