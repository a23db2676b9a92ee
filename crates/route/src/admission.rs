//! Admission of requests while a service is short of capacity.
//!
//! Each host decides for the requests that it receives, from the reports of endpoints to it and
//! from its own requests. It neither stores nor sends the state. See `docs/design/admission.md`.

mod arrival;
mod deferrals;
mod priorities;
mod progress;
mod queue;
mod queues;
mod refusal;
mod service_load;
mod service_time;
mod shortage;
mod tally;
mod usage;

use std::collections::HashMap;
use std::time::Duration;

use kernel::ServiceName;
use rand::RngExt;
use rand_pcg::Pcg32;

use arrival::ArrivalKind;
pub(crate) use arrival::{Arrival, QueueOrder};
use deferrals::Deferrals;
pub(crate) use queue::Queue;
pub(crate) use queues::Queues;
pub(crate) use refusal::Refusal;
use service_load::ServiceLoad;
pub(crate) use service_time::Wait;
pub use shortage::Shortage;

/// The shortest time after which a refused request may be retried, unless its deadline is nearer.
/// Less than the time between two load reports at a busy host, so nothing would have changed.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Callers honour `Retry-After` up to this fraction of the time that they have left.
const RETRY_AFTER_DIVISOR: u32 = 3;

/// The state from which requests are admitted or refused while capacity is short.
#[derive(Clone, Debug, Default)]
pub(crate) struct Admission {
    /// Only services of the configuration, so their number is bounded.
    services: HashMap<ServiceName, ServiceLoad>,
    deferrals: Deferrals,
}

impl Admission {
    /// Decides on a request that has not been admitted before.
    ///
    /// # Errors
    /// Returns the refusal if there is no capacity for the request.
    pub(crate) fn check(
        &mut self,
        now: Duration,
        arrival: &Arrival<'_>,
        queues: &Queues,
        rng: &mut Pcg32,
    ) -> Result<(), Refusal> {
        let deferred = self.deferrals.remaining(now, arrival.fingerprint);
        let load = self.services.entry(arrival.service.clone()).or_default();
        let kind = deferred.map_or(ArrivalKind::New, |_| ArrivalKind::EarlyRetry);
        load.record_arrival(now, arrival, queues, kind);
        if let Some(remaining) = deferred
            && queues.are_short()
        {
            return Err(Refusal {
                shortage: Shortage::EarlyRetry,
                retry_after: remaining.min(arrival.time_left / RETRY_AFTER_DIVISOR),
            });
        }
        let checked = load.check_deadline(arrival, queues);
        let checked = checked.and_then(|()| load.check_share(now, arrival, queues));
        if checked.is_ok() {
            load.record_admitted(now, arrival);
        }
        checked.map_err(|(shortage, wait)| self.refuse(now, arrival, shortage, wait, rng))
    }

    /// Decides on a request that has been admitted and whose attempts so far have not run. Its
    /// customer's share has been checked, so only the deadline is.
    ///
    /// # Errors
    /// Returns the refusal if there is no capacity for the request.
    pub(crate) fn check_again(
        &mut self,
        now: Duration,
        arrival: &Arrival<'_>,
        queues: &Queues,
        rng: &mut Pcg32,
    ) -> Result<(), Refusal> {
        let Some(load) = self.services.get(arrival.service) else {
            return Ok(());
        };
        let checked = load.check_deadline(arrival, queues);
        checked.map_err(|(shortage, wait)| self.refuse(now, arrival, shortage, wait, rng))
    }

    /// Refuses a request for which there will be capacity after `wait`, and remembers the time
    /// until which its retry would be early.
    fn refuse(
        &mut self,
        now: Duration,
        arrival: &Arrival<'_>,
        shortage: Shortage,
        wait: Duration,
        rng: &mut Pcg32,
    ) -> Refusal {
        let retry_after = retry_after(wait, arrival.time_left, rng);
        self.deferrals
            .insert(now, arrival.fingerprint, now + retry_after);
        Refusal {
            shortage,
            retry_after,
        }
    }

    /// Records how long a request took at an endpoint of the service.
    pub(crate) fn record_service_time(
        &mut self,
        service: &ServiceName,
        took: Duration,
        wait: Wait,
    ) {
        if let Some(it) = self.services.get_mut(service) {
            it.record_service_time(took, wait);
        }
    }

    /// Removes the state of services that are no longer configured.
    pub(crate) fn retain_services(&mut self, is_configured: impl Fn(&ServiceName) -> bool) {
        self.services.retain(|it, _| is_configured(it));
    }
}

/// Returns the time after which to retry: the time until capacity is expected, and a random part
/// of the same length. It is spread as much where the caller's time limits it; otherwise all
/// callers with the same deadline would return together.
fn retry_after(wait: Duration, time_left: Duration, rng: &mut Pcg32) -> Duration {
    let limit = time_left / RETRY_AFTER_DIVISOR / 2;
    let base = wait.max(MIN_RETRY_AFTER).min(limit);
    base + base.mul_f64(rng.random::<f64>())
}
