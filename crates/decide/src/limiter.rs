//! Rate and concurrency limits of a customer at this host.

use std::time::Duration;

use crate::demand::Flow;
use crate::meter::Meter;
use crate::policy::Customer;
use crate::refusal::{Reason, Refusal, Run};
use crate::token_bucket::TokenBucket;

/// The time constant of the average demand.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(2);
/// The part of a limit that is split evenly over the hosts, so that requests of
/// a customer that switches hosts are admitted before its demand is reported.
const EVEN_SHARE: f64 = 0.05;

/// The limits of a customer at this host: its fleet-wide limits times this
/// host's share of its demand, but at least one request in flight and a burst of
/// one request.
#[derive(Clone, Debug)]
pub(crate) struct Limiter {
    bucket: TokenBucket,
    arrivals: Meter,
    in_flight: u32,
    /// This host's shares of the fleet-wide rate and concurrency.
    rate_share: f64,
    concurrency_share: f64,
}

impl Limiter {
    pub(crate) fn new(now: Duration, limits: &Customer, live: f64) -> Self {
        Self {
            bucket: TokenBucket::new((limits.burst / live).max(1.0), now),
            arrivals: Meter::new(DEMAND_TIME_CONSTANT),
            in_flight: 0,
            rate_share: 1.0 / live,
            concurrency_share: 1.0 / live,
        }
    }

    /// Records an arrival, and admits it or returns the refusal.
    pub(crate) fn admit(&mut self, now: Duration, limits: &Customer) -> Result<(), Refusal> {
        self.arrivals.add(now, 1.0);
        let rate = limits.rate * self.rate_share;
        self.bucket
            .refill(now, rate, (limits.burst * self.rate_share).max(1.0));
        let max_in_flight = (f64::from(limits.concurrency) * self.concurrency_share).max(1.0);
        if f64::from(self.in_flight) >= max_in_flight {
            return Err(Refusal {
                reason: Reason::ConcurrencyLimited,
                run: Run::NotRun,
                retry_after: None,
            });
        }
        if !self.bucket.take(1.0) {
            return Err(Refusal {
                reason: Reason::RateLimited,
                run: Run::NotRun,
                retry_after: Some(self.bucket.time_to_token(rate)),
            });
        }
        self.in_flight += 1;
        Ok(())
    }

    pub(crate) fn release(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    pub(crate) fn flow(&self, now: Duration) -> Flow {
        Flow {
            rate: self.arrivals.rate(now),
            in_flight: f64::from(self.in_flight),
        }
    }

    /// Updates this host's shares of the limits from the demand at the other hosts.
    pub(crate) fn update_share(&mut self, now: Duration, live: f64, elsewhere: Flow) {
        let own = self.flow(now);
        self.rate_share = share_of(own.rate, elsewhere.rate, live);
        // Uses the arrival rate if it is higher, for example when nothing is in flight.
        let own_load = own.in_flight.max(own.rate);
        let other_load = elsewhere.in_flight.max(elsewhere.rate);
        self.concurrency_share = share_of(own_load, other_load, live);
    }
}

fn share_of(own: f64, elsewhere: f64, live: f64) -> f64 {
    const MIN_DEMAND: f64 = 0.01;
    let even = 1.0 / live;
    if own + elsewhere < MIN_DEMAND {
        return even;
    }
    (1.0 - EVEN_SHARE) * own / (own + elsewhere) + EVEN_SHARE * even
}
