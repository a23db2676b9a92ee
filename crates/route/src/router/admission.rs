//! The check of capacity before a request is placed.

use std::time::Duration;

use super::{InFlight, Leniency, Router};
use crate::LoadPolicy;
use crate::admission::{Arrival, Queue, QueueOrder, Queues, Wait};
use crate::call::{Call, CapacityCheck, Ending, Failure};

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
        let queues = |leniency| {
            let endpoints = self.directory.endpoints_of(&call.service);
            let eligible =
                endpoints.filter(|&it| self.exclusion(now, call, leniency, None, it).is_none());
            eligible
                .map(|(_, it)| Queue::of(now, it))
                .collect::<Vec<_>>()
        };
        let mut all = Leniency::ALL.into_iter().map(queues);
        Queues::new(all.find(|it| !it.is_empty()).unwrap_or_default())
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
