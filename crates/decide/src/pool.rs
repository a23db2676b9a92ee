//! The queue and the timing statistics of each version and service.

use std::time::Duration;

use crate::directory::Target;
use crate::meter::{Mean, Meter};
use crate::policy::Priority;
use crate::queue::Queue;
use crate::{Policy, key};

/// The averaging time of the departure rate.
const DEPARTURE_AVERAGING_TIME: Duration = Duration::from_secs(4);

/// The queue and the timing statistics of a version or service.
#[derive(Clone, Debug)]
pub(crate) struct Pool {
    pub(crate) queue: Queue,
    departure_rate: Meter,
    /// The duration of a successful attempt in seconds.
    seconds: Mean,
    /// The time to the first byte in seconds, or to the end of the response if the
    /// first byte isn't reported.
    first_byte: Mean,
}

impl Default for Pool {
    fn default() -> Self {
        Self {
            queue: Queue::default(),
            departure_rate: Meter::new(DEPARTURE_AVERAGING_TIME),
            seconds: Mean::default(),
            first_byte: Mean::default(),
        }
    }
}

impl Pool {
    pub(crate) fn record_departure(&mut self, now: Duration) {
        self.departure_rate.add(now, 1.0);
    }

    pub(crate) fn record_duration(&mut self, seconds: f64) {
        self.seconds.add(seconds);
    }

    pub(crate) fn record_first_byte(&mut self, seconds: f64) {
        self.first_byte.add(seconds);
    }

    /// Returns the mean duration of a successful attempt in seconds, or 0 if unknown.
    pub(crate) fn mean_seconds(&self) -> f64 {
        self.seconds.value(1).unwrap_or(0.0)
    }

    /// Returns how long to wait for the first byte before hedging, or `None` if too few
    /// first bytes were timed.
    pub(crate) fn hedge_after(&self) -> Option<Duration> {
        const MIN_SAMPLES: u32 = 30;
        let high = self.first_byte.high(MIN_SAMPLES)?;
        Some(Duration::from_secs_f64(high.max(0.01)))
    }

    /// Estimates the queueing time of a new request of this customer, if `running`
    /// of this host's requests can run concurrently.
    pub(crate) fn estimated_wait(
        &self,
        now: Duration,
        customer: key::Customer,
        priority: Priority,
        weight: f64,
        running: f64,
    ) -> Duration {
        const MAX_WAIT_SECONDS: f64 = 600.0;
        let ahead = self.queue.estimate_ahead(customer, priority, weight) + 1.0;
        let seconds = self.mean_seconds().max(0.001);
        // The departure rate by Little's law, with a lower bound, because `running` may
        // be close to 0.
        let rate = running / seconds;
        let rate = rate.max(self.departure_rate.rate(now)).max(0.2 / seconds);
        Duration::from_secs_f64((ahead / rate).min(MAX_WAIT_SECONDS))
    }
}

/// The pools of all versions and services, indexed by key.
#[derive(Debug, Default)]
pub(crate) struct Pools {
    versions: Vec<Pool>,
    services: Vec<Pool>,
}

impl Pools {
    pub(crate) fn get(&self, target: Target) -> Option<&Pool> {
        match target {
            Target::Version(it) => self.versions.get(it.index()),
            Target::Service(it) => self.services.get(it.index()),
        }
    }

    pub(crate) fn get_mut(&mut self, target: Target) -> Option<&mut Pool> {
        match target {
            Target::Version(it) => self.versions.get_mut(it.index()),
            Target::Service(it) => self.services.get_mut(it.index()),
        }
    }

    /// Returns all targets with queued requests, services first.
    pub(crate) fn queued_targets(&self) -> Vec<Target> {
        let versions = self.versions.iter().enumerate();
        let versions = versions.filter(|(_, it)| !it.queue.is_empty());
        let versions = versions.map(|(at, _)| Target::Version(key::Version::at(at)));
        let services = self.services.iter().enumerate();
        let services = services.filter(|(_, it)| !it.queue.is_empty());
        let services = services.map(|(at, _)| Target::Service(key::Service::at(at)));
        services.chain(versions).collect()
    }

    /// Remaps the statistics to the keys of a new policy. The queues start empty.
    pub(crate) fn configure(
        &mut self,
        policy: &Policy,
        versions: &[Option<key::Version>],
        services: &[Option<key::Service>],
    ) {
        let versions = versions.iter().take(policy.versions.len());
        let versions = versions.map(|it| it.map(key::Version::index));
        self.versions = remapped(&mut self.versions, versions);
        let services = services.iter().take(policy.services.len());
        let services = services.map(|it| it.map(key::Service::index));
        self.services = remapped(&mut self.services, services);
    }
}

fn remapped(old: &mut [Pool], from: impl Iterator<Item = Option<usize>>) -> Vec<Pool> {
    let take = |it: Option<usize>| {
        let known = it.and_then(|it| old.get_mut(it)).map(std::mem::take);
        Pool {
            queue: Queue::default(),
            ..known.unwrap_or_default()
        }
    };
    from.map(take).collect()
}
