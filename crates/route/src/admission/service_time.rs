//! How long requests occupy a slot of an endpoint.

use std::time::Duration;

/// The number of requests from which an estimate is used. Requests of different kinds take very
/// different times.
const MIN_SAMPLES: u32 = 10;
/// The least weight of one request in the moving average.
const MIN_WEIGHT: f64 = 0.05;
/// The multiple of the average to which one request is limited. Its time may include a slow
/// caller, for which no endpoint works.
const MAX_FACTOR: f64 = 4.0;

/// Whether a request may have waited for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Wait {
    Unlikely,
    Possible,
}

/// An estimate of the time for which a service's requests occupy a slot.
///
/// It is the moving average of the requests that probably did not wait. While there are too few, as
/// at a host that starts during an overload, it is the shortest time of any request, which is too
/// low rather than too high. The time of a request that waited can't be scaled down by the length
/// of the queue instead: an urgent request overtakes the queue.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ServiceTime {
    seconds: f64,
    samples: u32,
    shortest: Option<Duration>,
    all_samples: u32,
}

impl ServiceTime {
    pub(super) fn record(&mut self, took: Duration, wait: Wait) {
        self.all_samples = self.all_samples.saturating_add(1);
        self.shortest = Some(self.shortest.map_or(took, |it| it.min(took)));
        if wait == Wait::Possible {
            return;
        }
        self.samples = self.samples.saturating_add(1);
        let weight = f64::from(self.samples).recip().max(MIN_WEIGHT);
        let mut seconds = took.as_secs_f64();
        if self.samples > MIN_SAMPLES {
            seconds = seconds.min(self.seconds * MAX_FACTOR);
        }
        self.seconds += weight * (seconds - self.seconds);
    }

    /// Returns the estimate, or `None` while there are too few requests.
    pub(super) fn get(&self) -> Option<Duration> {
        if self.samples >= MIN_SAMPLES {
            Some(Duration::from_secs_f64(self.seconds))
        } else {
            self.shortest.filter(|_| self.all_samples >= MIN_SAMPLES)
        }
    }
}
