use std::time::Duration;

use decide::{
    Decider, Event, Outcome, Tuning,
    endpoint::{Distance, Id, Load as CoreLoad, State, Update},
    outcome::{Answer, Denial},
};
use kernel::{AttemptId, Incarnation};

use super::id_map::IdMap;
use crate::{attempt::AttemptKey, endpoint::Load, router::AttemptOutcome};

/// The decider of an entry host and the endpoint states last reported to it.
pub(super) struct Host {
    pub(super) decider: Decider,
    pub(super) endpoints: Vec<EndpointStatus>,
    incarnation: u64,
}

/// The state of an endpoint as last reported to a host.
#[derive(Clone, Copy, Debug)]
pub(super) struct EndpointStatus {
    incarnation: u64,
    up: bool,
    pub(super) load: Option<(Load, Duration)>,
}

impl Host {
    pub(super) fn new(ids: &IdMap, seed: u64, host: usize, incarnation: u64) -> Self {
        let fresh = EndpointStatus {
            incarnation: 1,
            up: true,
            load: None,
        };
        Self {
            decider: decider(ids, seed, host, incarnation),
            endpoints: vec![fresh; ids.endpoints.len()],
            incarnation,
        }
    }

    /// Replaces the decider by a new one and forgets the load reports.
    pub(super) fn replace(&mut self, ids: &IdMap, seed: u64, host: usize) {
        self.incarnation += 1;
        self.decider = decider(ids, seed, host, self.incarnation);
        for endpoint_status in &mut self.endpoints {
            endpoint_status.load = None;
        }
    }

    pub(super) fn set_endpoint(&mut self, endpoint: usize, incarnation: u64, up: bool) {
        self.endpoints[endpoint] = EndpointStatus {
            incarnation,
            up,
            load: None,
        };
    }

    /// Returns the decider's event for an endpoint.
    pub(super) fn update(&self, ids: &IdMap, host: usize, endpoint: usize) -> Event {
        let spec = &ids.endpoints[endpoint];
        let endpoint_status = &self.endpoints[endpoint];
        let distance = if spec.data_centre == host % ids.data_centres {
            Distance::DataCentre
        } else {
            Distance::Region
        };
        Event::Endpoint(Update {
            id: Id::new(&spec.name, Incarnation(endpoint_status.incarnation)),
            role: spec.role.clone(),
            distance,
            state: if endpoint_status.up {
                State::Live
            } else {
                State::Gone
            },
            load: endpoint_status.load.map(|(load, age)| CoreLoad {
                running: to_u32(load.running),
                waiting: to_u32(load.waiting),
                slots: to_u32(spec.slots),
                age,
            }),
        })
    }

    pub(super) fn attempt_key(&self, host: usize, attempt: AttemptId) -> AttemptKey {
        AttemptKey {
            host,
            incarnation: self.incarnation,
            number: attempt.0,
        }
    }

    /// Returns the decider's ID of an attempt; `None` if an earlier incarnation dispatched it.
    pub(super) fn attempt_id(&self, attempt: AttemptKey) -> Option<AttemptId> {
        (attempt.incarnation == self.incarnation).then_some(AttemptId(attempt.number))
    }
}

impl AttemptOutcome {
    pub(super) fn to_core(self) -> Outcome {
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

fn decider(ids: &IdMap, seed: u64, host: usize, incarnation: u64) -> Decider {
    let tuning = Tuning {
        host: ids.hosts[host].clone(),
        ..Tuning::default()
    };
    let number = u64::try_from(host).unwrap_or(0);
    Decider::new(
        seed.wrapping_mul(1_000) + incarnation * 100 + number,
        tuning,
    )
}

fn to_u32(it: usize) -> u32 {
    u32::try_from(it).unwrap_or(u32::MAX)
}
