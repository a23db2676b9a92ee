use std::time::Duration;

use decide::{
    Decider, Event, Outcome, Tuning,
    endpoint::{Distance, Id, Load as CoreLoad, State, Update},
    outcome::{Answer, Denial},
};
use kernel::{AttemptId, Incarnation};

use super::names::Names;
use crate::{attempt::AttemptKey, endpoint::Load, router::End};

/// An entry host.
pub(super) struct Host {
    pub(super) decider: Decider,
    pub(super) endpoints: Vec<Known>,
    life: u64,
}

/// The state of an endpoint as last reported to a host.
#[derive(Clone, Copy, Debug)]
pub(super) struct Known {
    incarnation: u64,
    up: bool,
    pub(super) load: Option<(Load, Duration)>,
}

impl Host {
    pub(super) fn new(names: &Names, seed: u64, host: usize, life: u64) -> Self {
        let fresh = Known {
            incarnation: 1,
            up: true,
            load: None,
        };
        Self {
            decider: decider(names, seed, host, life),
            endpoints: vec![fresh; names.endpoints.len()],
            life,
        }
    }

    /// Replaces the decider by a new one and forgets the load reports.
    pub(super) fn replace(&mut self, names: &Names, seed: u64, host: usize) {
        self.life += 1;
        self.decider = decider(names, seed, host, self.life);
        for known in &mut self.endpoints {
            known.load = None;
        }
    }

    pub(super) fn set_endpoint(&mut self, endpoint: usize, incarnation: u64, up: bool) {
        self.endpoints[endpoint] = Known {
            incarnation,
            up,
            load: None,
        };
    }

    /// Returns the decider's event for an endpoint.
    pub(super) fn update(&self, names: &Names, host: usize, endpoint: usize) -> Event {
        let fixed = &names.endpoints[endpoint];
        let known = &self.endpoints[endpoint];
        let distance = if fixed.data_centre == host % names.data_centres {
            Distance::DataCentre
        } else {
            Distance::Region
        };
        Event::Endpoint(Update {
            id: Id::new(&fixed.name, Incarnation(known.incarnation)),
            role: fixed.role.clone(),
            distance,
            state: if known.up { State::Live } else { State::Gone },
            load: known.load.map(|(load, age)| CoreLoad {
                running: count(load.running),
                waiting: count(load.waiting),
                slots: count(fixed.slots),
                age,
            }),
        })
    }

    pub(super) fn key(&self, host: usize, attempt: AttemptId) -> AttemptKey {
        AttemptKey {
            host,
            life: self.life,
            number: attempt.0,
        }
    }

    /// Returns the decider's ID of an attempt; `None` if an earlier incarnation dispatched it.
    pub(super) fn number(&self, attempt: AttemptKey) -> Option<AttemptId> {
        (attempt.life == self.life).then_some(AttemptId(attempt.number))
    }
}

impl End {
    pub(super) fn outcome(self) -> Outcome {
        match self {
            Self::Answered {
                confidence,
                prompt,
                completion,
            } => Outcome::Answered(Answer {
                confidence,
                prompt_tokens: prompt,
                completion_tokens: completion,
            }),
            Self::Served => Outcome::Served,
            Self::Refused => Outcome::Denied(Denial::Overloaded),
            Self::Failed => Outcome::Failed,
            Self::Cut => Outcome::Cut,
            Self::Unreachable => Outcome::NotSent,
            Self::TimedOut => Outcome::TimedOut,
        }
    }
}

fn decider(names: &Names, seed: u64, host: usize, life: u64) -> Decider {
    let tuning = Tuning {
        host: names.hosts[host].clone(),
        ..Tuning::default()
    };
    let number = u64::try_from(host).unwrap_or(0);
    Decider::new(seed.wrapping_mul(1_000) + life * 100 + number, tuning)
}

fn count(it: usize) -> u32 {
    u32::try_from(it).unwrap_or(u32::MAX)
}
