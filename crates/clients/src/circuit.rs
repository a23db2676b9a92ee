//! A circuit breaker: an outage is noticed by a few calls, not by each.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// When a circuit opens, and how it finds the end of an outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tuning {
    /// Failures in a row after which it opens.
    pub failures: u32,
    /// Wait before the first probe; it doubles with each that fails.
    pub first_wait: Duration,
    /// The longest wait.
    pub max_wait: Duration,
    /// Time after which a probe without an outcome is taken for lost.
    pub probe_time: Duration,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            failures: 3,
            first_wait: Duration::from_millis(200),
            max_wait: Duration::from_secs(5),
            probe_time: Duration::from_secs(10),
        }
    }
}

/// Whether a call may be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may.
    Admit,
    /// It may, and its outcome decides for the others.
    Probe,
    /// It may not; the next probe is due after this time.
    Refuse(Duration),
}

/// The state of one service as its callers found it. Pure: time is passed in.
#[derive(Debug)]
pub struct Circuit {
    tuning: Tuning,
    rng: Pcg64Mcg,
    state: State,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Closed { failures: u32 },
    Open { until: Duration, wait: Duration },
    Probing { lost_at: Duration, wait: Duration },
}

impl Circuit {
    /// A closed circuit. Hosts use different seeds so that they don't all
    /// probe a service that comes back at the same moment.
    #[must_use]
    pub fn new(seed: u64, tuning: Tuning) -> Self {
        Self {
            tuning,
            rng: Pcg64Mcg::seed_from_u64(seed),
            state: State::Closed { failures: 0 },
        }
    }

    /// Asks whether a call may be made at `now`.
    pub fn admit(&mut self, now: Duration) -> Admission {
        match self.state {
            State::Closed { .. } => Admission::Admit,
            State::Open { until, .. } if now < until => {
                Admission::Refuse(until.saturating_sub(now))
            }
            State::Probing { lost_at, .. } if now < lost_at => {
                Admission::Refuse(lost_at.saturating_sub(now))
            }
            State::Open { wait, .. } | State::Probing { wait, .. } => {
                let lost_at = now + self.tuning.probe_time;
                self.state = State::Probing { lost_at, wait };
                Admission::Probe
            }
        }
    }

    /// Tells that the service answered.
    pub fn succeed(&mut self) {
        self.state = State::Closed { failures: 0 };
    }

    /// Tells that a call, admitted as `admission`, failed at `now` for the
    /// service's sake.
    ///
    /// Calls from before the outage was noticed fail after it. They say nothing
    /// new: counted, they would push the next probe away or stand for its failure.
    pub fn fail(&mut self, now: Duration, admission: Admission) {
        self.state = match (self.state, admission) {
            (State::Closed { failures }, _) if failures + 1 < self.tuning.failures => {
                State::Closed {
                    failures: failures + 1,
                }
            }
            (State::Closed { .. }, _) => self.open(now, self.tuning.first_wait),
            (State::Probing { wait, .. }, Admission::Probe) => {
                self.open(now, (wait * 2).min(self.tuning.max_wait))
            }
            (state, _) => state,
        };
    }

    /// Whether calls are refused until a probe succeeds.
    #[must_use]
    pub fn is_open(&self) -> bool {
        !matches!(self.state, State::Closed { .. })
    }

    fn open(&mut self, now: Duration, wait: Duration) -> State {
        let jittered = wait.mul_f64(self.rng.random_range(0.5..1.0));
        State::Open {
            until: now + jittered,
            wait,
        }
    }
}
