//! A circuit breaker that refuses calls to a service during an outage.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Thresholds and delays of a [`Circuit`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tuning {
    /// Consecutive failures after which the circuit opens.
    pub failures: u32,
    /// Maximum delay before the first probe. The maximum doubles with each failed
    /// probe, up to `max_wait`; the actual delay is a random half to whole of it.
    pub first_wait: Duration,
    /// Limit for the doubling of the delay. It doesn't apply to `first_wait`.
    pub max_wait: Duration,
    /// Time after which a probe without an outcome counts as lost.
    pub probe_timeout: Duration,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            failures: 3,
            first_wait: Duration::from_millis(200),
            max_wait: Duration::from_secs(5),
            probe_timeout: Duration::from_secs(10),
        }
    }
}

/// Decision of a [`Circuit`] on a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The call may be made.
    Admit,
    /// The call may be made as a probe: its success closes the circuit, its
    /// failure delays the next probe.
    Probe,
    /// The call must not be made. The duration is the time until the next probe
    /// is due or, while a probe is in flight, until that probe counts as lost.
    Refuse(Duration),
}

/// A circuit breaker for one service. It does no I/O and reads no clock:
/// callers pass in the time.
#[derive(Debug)]
pub struct Circuit {
    tuning: Tuning,
    rng: Pcg64Mcg,
    state: State,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Closed { failures: u32 },
    Open { probe_at: Duration, wait: Duration },
    Probing { deadline: Duration, wait: Duration },
}

impl Circuit {
    /// Creates a closed circuit. Hosts use different seeds, so that their
    /// probes of a recovering service are spread out.
    #[must_use]
    pub fn new(seed: u64, tuning: Tuning) -> Self {
        Self {
            tuning,
            rng: Pcg64Mcg::seed_from_u64(seed),
            state: State::Closed { failures: 0 },
        }
    }

    /// Decides whether a call may be made at `now`.
    pub fn admit(&mut self, now: Duration) -> Admission {
        match self.state {
            State::Closed { .. } => Admission::Admit,
            State::Open { probe_at, .. } if now < probe_at => {
                Admission::Refuse(probe_at.saturating_sub(now))
            }
            State::Probing { deadline, .. } if now < deadline => {
                Admission::Refuse(deadline.saturating_sub(now))
            }
            State::Open { wait, .. } | State::Probing { wait, .. } => {
                let deadline = now + self.tuning.probe_timeout;
                self.state = State::Probing { deadline, wait };
                Admission::Probe
            }
        }
    }

    /// Records that a call didn't fail because of the service, and closes the
    /// circuit. This applies to any call, also one admitted before it opened.
    pub fn succeed(&mut self) {
        self.state = State::Closed { failures: 0 };
    }

    /// Records that a call admitted as `admission` failed at `now` because of
    /// the service.
    ///
    /// While a probe is in flight, only failures of probes count; while the
    /// circuit is open without a probe, no failure counts. Otherwise a call that
    /// was in flight when the circuit opened could delay the next probe or be
    /// mistaken for a failed probe. Probes aren't told apart: the late failure of
    /// a lost probe counts as a failure of the current one.
    pub fn fail(&mut self, now: Duration, admission: Admission) {
        self.state = match (self.state, admission) {
            (State::Closed { failures }, _) if failures + 1 < self.tuning.failures => {
                State::Closed {
                    failures: failures + 1,
                }
            }
            (State::Closed { .. }, _) => self.open_state(now, self.tuning.first_wait),
            (State::Probing { wait, .. }, Admission::Probe) => {
                self.open_state(now, (wait * 2).min(self.tuning.max_wait))
            }
            (state, _) => state,
        };
    }

    /// Returns whether the circuit is open or waits for the outcome of a probe.
    #[must_use]
    pub fn is_open(&self) -> bool {
        !matches!(self.state, State::Closed { .. })
    }

    /// Returns the open state, with a jittered delay before the next probe.
    fn open_state(&mut self, now: Duration, wait: Duration) -> State {
        let jittered = wait.mul_f64(self.rng.random_range(0.5..1.0));
        State::Open {
            probe_at: now + jittered,
            wait,
        }
    }
}
