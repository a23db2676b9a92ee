//! The health of one version.

use std::time::Duration;

use crate::action::{Cause, Verdict};
use crate::cusum::Cusum;
use crate::endpoint;
use crate::evidence::BUCKETS;
use crate::tally::Bucket;

/// Shares of answers that a fault spoils, for which the test looks out.
const SHARES: [f64; 2] = [0.2, 0.9];
/// The sum at which a version is quarantined. By Lorden's bound a healthy
/// version is taken for bad less than once in `e^12` (160 thousand) observations.
const LIMIT: f64 = 12.0;
/// The sum for a partial fault, which confidence shows less clearly.
const PARTIAL_LIMIT: f64 = 18.0;
/// The sum for a fault of nearly all answers.
const WHOLE_LIMIT: f64 = 16.0;
/// Answers from which on the usual confidence is known well enough to see a
/// fifth of the answers turn bad.
const PARTIAL_ANSWERS: f64 = 200.0;
/// One failure counts no more than this, so that it takes several.
const MOST_FOR_FAILURE: f64 = 2.5;
/// The same for one answer's confidence: how rare the least sure ones are as a
/// rule is only roughly known.
const MOST_FOR_ANSWER: f64 = 1.8;
/// The share of failures that is always taken as normal.
const FAILURE_FLOOR: f64 = 0.01;
/// Answers that take so many times as long as usual speak for a fault.
const SLOW: f64 = 3.0;
/// How much one answer can speak for it, and how much is needed.
const SLOW_MOST: f64 = 1.0;
const SLOW_LIMIT: f64 = 5.0;
/// How long a version is left alone first, and at most.
const FIRST_HOLD: Duration = Duration::from_secs(10);
const LONGEST_HOLD: Duration = Duration::from_mins(10);
/// Time between two probes of one host.
const PROBE_EVERY: Duration = Duration::from_secs(1);
/// How sure probes have to be that it is well, or still bad.
const PASS: f64 = 6.0;
const FAIL: f64 = -3.0;

/// The health of one version, as this host sees it from its own outcomes and
/// those that other hosts tell of. See `docs/design/decide-health.md`.
#[derive(Clone, Debug, Default)]
pub(crate) struct Monitor {
    errors: Cusum,
    latency: Cusum,
    quality: [Cusum; SHARES.len()],
    /// Two endpoints where it failed since it was last well.
    failed_at: [Option<endpoint::Id>; 2],
    last_failed: Option<endpoint::Id>,
    /// Failures since the last answer.
    streak: f64,
    outcomes: f64,
    failures: f64,
    totals: Totals,
    quarantine: Option<Quarantine>,
}

/// What has been seen in all, with nothing forgotten.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Totals {
    pub(crate) answers: f64,
    pub(crate) ratings: f64,
}

/// A version that is out of use.
#[derive(Clone, Copy, Debug)]
struct Quarantine {
    cause: Cause,
    /// The share of answers that its fault is taken to spoil.
    share: f64,
    since: Duration,
    hold: Duration,
    next_probe: Duration,
    /// The log-likelihood ratio of "it is well again" from the probes so far.
    passed: f64,
}

/// How often answers are bad or missing as things are.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Normal {
    pub(crate) errors: f64,
    /// Endpoints that this host could see it fail at.
    pub(crate) endpoints: usize,
}

/// Whether a fault is a version's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Scope {
    /// Other versions are as ever.
    Own,
    /// Many other versions have the same trouble, so that the cause is another.
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

    /// Whether the tests already lean towards a fault.
    pub(crate) fn is_suspect(&self) -> bool {
        self.suspicion() > LIMIT / 3.0
    }

    /// The highest of the sums.
    pub(crate) fn suspicion(&self) -> f64 {
        let quality = self.quality.iter().map(|it| it.sum());
        quality.fold(self.errors.sum(), f64::max)
    }

    /// Outcomes seen, as far as they are remembered.
    pub(crate) fn outcomes(&self) -> f64 {
        self.outcomes
    }

    /// The share of outcomes that failed.
    pub(crate) fn failure_share(&self) -> f64 {
        (self.failures + FAILURE_FLOOR * 20.0) / (self.outcomes + 20.0)
    }

    pub(crate) fn totals(&self) -> Totals {
        self.totals
    }

    /// A quarantined version may be tried with one request now.
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

    /// Whole answers came.
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

    /// It failed, `count` times, at these endpoints.
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
        // One broken endpoint fails again and again; it may not stand for the version.
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

    /// Answers came with this confidence.
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

    /// An answer took `ratio` times as long as such answers do, from an endpoint
    /// that was not full when it was sent.
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

    /// Whether its answers have become slow.
    pub(crate) fn is_slow(&self) -> bool {
        self.latency.sum() > SLOW_LIMIT / 2.0
    }

    /// Ends a batch of answers whose order isn't known.
    pub(crate) fn settle(&mut self, now: Duration, scope: Scope) {
        self.quality.iter_mut().for_each(Cusum::settle);
        self.judge(now, scope, Cause::Confidence);
    }

    /// Answers were rated.
    pub(crate) fn rated(&mut self, now: Duration, seen: &Ratings) {
        self.totals.ratings += seen.good + seen.bad;
        let normal = seen.normal.clamp(0.02, 0.98);
        let ratio = |share| {
            let spoilt = failing(normal, share);
            seen.bad * (spoilt / normal).ln() + seen.good * ((1.0 - spoilt) / (1.0 - normal)).ln()
        };
        if let Some(it) = self.quarantine {
            // Ratings come minutes late: those of answers from before the fault
            // would make a bad version look well again.
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

    /// Takes it out of use, unless it is already.
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

    /// Takes over another host's verdict.
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

    /// A probe speaks for (positive) or against the version.
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

/// The confidence of an answer, beside what it is as a rule and when answers are bad.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Confidence {
    pub(crate) bucket: Bucket,
    pub(crate) normal: [f64; BUCKETS],
    pub(crate) bad: [f64; BUCKETS],
    /// Answers that `normal` rests on.
    pub(crate) answers: f64,
    pub(crate) scope: Scope,
    pub(crate) order: Order,
}

/// Whether observations come in the order in which they were made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Order {
    Known,
    /// They are part of another host's batch, which [`Monitor::settle`] ends.
    Unknown,
}

/// Ratings, beside how often such answers are rated bad as a rule.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ratings {
    pub(crate) good: f64,
    pub(crate) bad: f64,
    pub(crate) normal: f64,
    pub(crate) scope: Scope,
    /// When the answers came, if that is known.
    pub(crate) answered: Option<Duration>,
}

/// The share that goes wrong when a fault spoils `share` of what is well.
fn failing(normal: f64, share: f64) -> f64 {
    normal + share * (1.0 - normal)
}
