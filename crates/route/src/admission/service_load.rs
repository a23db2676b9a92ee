//! The load of a service, as this host sees it.

use std::collections::HashMap;
use std::time::Duration;

use kernel::Customer;

use super::arrival::{ArrivalKind, QueueOrder};
use super::priorities::Priorities;
use super::progress::Progress;
use super::service_time::{ServiceTime, Wait};
use super::usage::{RECENT, Usage};
use super::{Arrival, Queues, Shortage};

/// The maximum number of customers of a service whose requests are counted.
const MAX_CUSTOMERS: usize = 1_024;
/// The time without shortage from which the usual load is known. Several bursts long, so that a
/// burst after the start isn't taken for the usual load.
const MIN_USUAL_TIME: Duration = Duration::from_secs(30);
/// The number of requests from which the usual load is known.
const MIN_USUAL_REQUESTS: f64 = 50.0;
/// The count of recent requests from which a customer counts as active. One request falls below it
/// after three time constants.
const MIN_ACTIVE: f64 = 0.05;
/// The number of standard deviations by which a customer may exceed its share. It exceeds them by
/// chance less than once in 500 times.
const MARGIN_DEVIATIONS: f64 = 3.0;
/// The number of requests by which a customer may exceed its share in any case, so that a host with
/// little traffic refuses none because of rounding.
const MARGIN_REQUESTS: f64 = 1.0;

/// The load of a service, as this host sees it.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceLoad {
    /// By customer; `None` for public routes.
    customers: HashMap<Option<Customer>, Usage>,
    total: Usage,
    priorities: Priorities,
    /// The priorities of the requests that were admitted.
    admitted_priorities: Priorities,
    service_time: ServiceTime,
    /// The time without shortage. The usual load must not decay during a long shortage.
    usual_time: Duration,
    last_arrival: Option<Duration>,
}

impl ServiceLoad {
    /// Counts a request. An early retry isn't part of the customer's usual load.
    pub(super) fn record_arrival(
        &mut self,
        now: Duration,
        arrival: &Arrival<'_>,
        queues: &Queues,
        kind: ArrivalKind,
    ) {
        let elapsed = self.last_arrival.map(|it| now.saturating_sub(it));
        self.last_arrival = Some(now);
        self.priorities.record(now, arrival.priority);
        let is_usual = !queues.are_short();
        if is_usual {
            self.usual_time += elapsed.unwrap_or_default();
        }
        let usual_time = self.usual_time;
        self.make_room(now, arrival.customer);
        let customer = self.customers.entry(arrival.customer.cloned()).or_default();
        for usage in [customer, &mut self.total] {
            usage.arrived.add(now);
            if is_usual && kind == ArrivalKind::New {
                usage.usual.add(usual_time);
            }
        }
    }

    pub(super) fn record_admitted(&mut self, now: Duration, arrival: &Arrival<'_>) {
        self.admitted_priorities.record(now, arrival.priority);
        self.total.admitted.add(now);
        if let Some(it) = self.customers.get_mut(&arrival.customer.cloned()) {
            it.admitted.add(now);
        }
    }

    pub(super) fn record_service_time(&mut self, took: Duration, wait: Wait) {
        self.service_time.record(took, wait);
    }

    /// Checks that an endpoint is expected to start the request before its deadline.
    ///
    /// # Errors
    /// Returns the shortage, and the time until there is capacity.
    pub(super) fn check_deadline(
        &self,
        arrival: &Arrival<'_>,
        queues: &Queues,
    ) -> Result<(), (Shortage, Duration)> {
        let Some(service_time) = self.service_time.get() else {
            return Ok(());
        };
        let wait = queues.wait(self.progress(arrival, service_time));
        if wait.is_zero() || wait < arrival.time_left {
            return Ok(());
        }
        Err((Shortage::NoCapacity { wait }, wait))
    }

    /// Returns the progress of a request in a queue. Where the order isn't known, it is the fastest
    /// that is possible.
    ///
    /// The queue of an endpoint with too much work consists mostly of requests that others overtake,
    /// so the fraction ahead is that of all requests, and not only of admitted ones.
    fn progress(&self, arrival: &Arrival<'_>, service_time: Duration) -> Progress {
        /// At most doubles the expected wait: the slots may be less busy than they seem.
        const MAX_OVERTAKING: f64 = 0.5;
        let fraction_overtaking = match arrival.order {
            QueueOrder::Priority => self
                .admitted_priorities
                .fraction_overtaking(arrival.priority),
            QueueOrder::Unknown => 0.0,
        };
        Progress {
            service_time,
            fraction_ahead: self.priorities.fraction_ahead(arrival.priority),
            fraction_overtaking: fraction_overtaking.min(MAX_OVERTAKING),
        }
    }

    /// Checks that the customer has not used its share while capacity is short.
    ///
    /// The larger of an equal share and its usual share of the admitted requests is the customer's.
    /// Refused requests don't count, so that a customer beyond its share still gets its share.
    ///
    /// # Errors
    /// Returns the shortage, and the time until the requests that the customer has been refused
    /// could have been admitted.
    pub(super) fn check_share(
        &mut self,
        now: Duration,
        arrival: &Arrival<'_>,
        queues: &Queues,
    ) -> Result<(), (Shortage, Duration)> {
        if !queues.are_short() {
            return Ok(());
        }
        let Some(share) = self.share(now, arrival.customer) else {
            return Ok(());
        };
        // Up to twice the share for the most urgent requests, so that others are refused first.
        let urgency = 2.0 - self.priorities.fraction_ahead(arrival.priority);
        let expected = share * urgency * self.total.admitted.value(now);
        let allowed = expected + MARGIN_REQUESTS + MARGIN_DEVIATIONS * expected.sqrt();
        let Some(usage) = self.customers.get_mut(&arrival.customer.cloned()) else {
            return Ok(());
        };
        let admitted = usage.admitted.value(now);
        if admitted < allowed {
            return Ok(());
        }
        usage.refused.add(now);
        let wait = RECENT.mul_f64(usage.refused.value(now) / allowed);
        let shortage = Shortage::OverShare {
            admitted: rounded(admitted),
            allowed: rounded(allowed),
        };
        Err((shortage, wait))
    }

    /// Returns a customer's share of the requests, or `None` while the usual load isn't known.
    fn share(&self, now: Duration, customer: Option<&Customer>) -> Option<f64> {
        let total = self.total.usual.value(self.usual_time);
        if self.usual_time < MIN_USUAL_TIME || total < MIN_USUAL_REQUESTS {
            return None;
        }
        let is_active = |it: &&Usage| it.arrived.value(now) >= MIN_ACTIVE;
        let active = self.customers.values().filter(is_active).count();
        let equal = u32::try_from(active).map_or(0.0, |it| f64::from(it.max(1)).recip());
        let usage = self.customers.get(&customer.cloned())?;
        let usual = usage.usual.value(self.usual_time) / total;
        Some(usual.max(equal))
    }

    /// Makes room for a customer whose requests aren't counted yet: removes the one with the
    /// fewest requests.
    fn make_room(&mut self, now: Duration, customer: Option<&Customer>) {
        if self.customers.len() < MAX_CUSTOMERS || self.customers.contains_key(&customer.cloned()) {
            return;
        }
        let requests = |it: &Usage| it.usual.value(self.usual_time) + it.arrived.value(now);
        let by_requests = |a: &(&Option<Customer>, &Usage), b: &(&Option<Customer>, &Usage)| {
            requests(a.1).total_cmp(&requests(b.1))
        };
        let smallest = self.customers.iter().min_by(by_requests);
        if let Some(it) = smallest.map(|it| it.0.clone()) {
            self.customers.remove(&it);
        }
    }
}

fn rounded(count: f64) -> u32 {
    /// The time constants bound the counts far below it.
    const MAX: f64 = 1e9;
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the count is limited to the range"
    )]
    {
        count.clamp(0.0, MAX).round() as u32
    }
}
