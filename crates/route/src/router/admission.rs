//! The check of capacity before a request is placed.

use std::time::Duration;

use super::{InFlight, Router};
use crate::LoadPolicy;
use crate::admission::{Arrival, Queue, QueueOrder, Queues, Wait};
use crate::call::{Call, CapacityCheck, Ending, Failure};
use crate::directory::Endpoint;
use crate::endpoint::Key;

/// The conditions under which placement uses an endpoint, from the first that it tries to the last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Tier {
    Healthy,
    Ejected,
    Tried,
}

impl Router {
    /// Checks whether there is capacity for a request that has not started. Call it before
    /// [`Self::place`]. It admits every request where the load policy isn't
    /// [`LoadPolicy::Contended`].
    ///
    /// # Errors
    /// Returns [`Failure::Overloaded`] if the request is refused. It has not run then.
    pub fn check_capacity(&mut self, now: Duration, call: &mut Call) -> Result<(), Failure> {
        if self.load_policy(&call.service) == LoadPolicy::Standard || !is_refusable(call) {
            return Ok(());
        }
        let queues = self.queues(now, call);
        // Endpoints are sent the priority together with the model.
        let order = call
            .model()
            .map_or(QueueOrder::Unknown, |_| QueueOrder::Priority);
        let arrival = Arrival {
            service: &call.service,
            customer: call.customer.as_ref().map(|it| &it.name),
            fingerprint: call.fingerprint,
            priority: self.request_priority(now, call),
            time_left: call.time_left(now),
            order,
        };
        let (admission, rng) = (&mut self.admission, &mut self.rng);
        let checked = match call.capacity_check {
            CapacityCheck::Pending => admission.check(now, &arrival, &queues, rng),
            CapacityCheck::Passed => admission.check_again(now, &arrival, &queues, rng),
        };
        call.capacity_check = CapacityCheck::Passed;
        checked.map_err(|it| Failure::Overloaded {
            shortage: it.shortage,
            retry_after: it.retry_after,
        })
    }

    /// Returns the queues of the endpoints among which placement will choose. Those of both
    /// releases are included during a roll-out: it may use either.
    fn queues(&self, now: Duration, call: &Call) -> Queues {
        let eligible = |(key, it): (Key, &Endpoint)| {
            let is_open = it.takes_work() && it.wait(now).is_zero();
            let is_eligible =
                is_open && self.directory.has_room(now, it) && !call.refused.contains(&key);
            is_eligible.then(|| (tier(now, call, key, it), Queue::of(now, it)))
        };
        let endpoints = self.directory.endpoints_of(&call.service);
        let all: Vec<_> = endpoints.filter_map(eligible).collect();
        let best = all.iter().map(|it| it.0).min();
        let used = all.into_iter().filter(|it| Some(it.0) == best);
        Queues::new(used.map(|it| it.1).collect())
    }

    /// Records how long an attempt took whose response is complete. It may have waited if the
    /// endpoint reported a queue with the response.
    pub(super) fn record_service_time(
        &mut self,
        now: Duration,
        call: &Call,
        in_flight: &InFlight,
        ending: Ending,
    ) {
        if !matches!(ending, Ending::Answered | Ending::LowConfidence)
            || self.load_policy(&call.service) == LoadPolicy::Standard
        {
            return;
        }
        let endpoint = self.directory.get(in_flight.endpoint);
        let Some((at, load)) = endpoint.and_then(|it| it.load) else {
            return;
        };
        if at < in_flight.started {
            return;
        }
        let wait = match load.waiting {
            0 => Wait::Unlikely,
            _ => Wait::Possible,
        };
        let took = now.saturating_sub(in_flight.started);
        self.admission
            .record_service_time(&call.service, took, wait);
    }
}

/// Returns whether a request may be refused for lack of capacity: not once part of its response
/// was sent, or an attempt, also one of the host that forwards it, may have run it.
fn is_refusable(call: &Call) -> bool {
    let has_run = match call.capacity_check {
        CapacityCheck::Pending => call.attempts() > 0,
        CapacityCheck::Passed => call.may_have_run,
    };
    !has_run && !call.has_started()
}

fn tier(now: Duration, call: &Call, key: Key, it: &Endpoint) -> Tier {
    if call.tried.contains(&key) {
        Tier::Tried
    } else if it.health.is_ejected(now) {
        Tier::Ejected
    } else {
        Tier::Healthy
    }
}
