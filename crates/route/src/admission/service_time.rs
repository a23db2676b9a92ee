//! How long requests occupy a slot of an endpoint.

use std::time::Duration;

/// The number of requests from which the average is used. Requests of different kinds take very
/// different times.
const MIN_SAMPLES: u32 = 10;
/// The least weight of one request in the moving average.
const MIN_WEIGHT: f64 = 0.05;
/// The multiple of the average to which one request is limited. Its time may include a slow
/// caller, for which no endpoint works.
const MAX_FACTOR: f64 = 4.0;

/// A moving average of the time for which a service's requests occupy a slot.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ServiceTime {
    seconds: f64,
    samples: u32,
}

impl ServiceTime {
    pub(super) fn record(&mut self, took: Duration) {
        self.samples = self.samples.saturating_add(1);
        let weight = f64::from(self.samples).recip().max(MIN_WEIGHT);
        let mut seconds = took.as_secs_f64();
        if self.samples > MIN_SAMPLES {
            seconds = seconds.min(self.seconds * MAX_FACTOR);
        }
        self.seconds += weight * (seconds - self.seconds);
    }

    /// Returns the average, or `None` while there are too few requests.
    pub(super) fn get(&self) -> Option<Duration> {
        (self.samples >= MIN_SAMPLES).then(|| Duration::from_secs_f64(self.seconds))
    }
}
