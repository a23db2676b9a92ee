//! Scheduled starts of the requests of an open-loop load.

use std::time::Duration;

/// Iterator over the starts of requests at a constant rate.
#[derive(Clone, Debug)]
pub struct ConstantRate {
    per_second: u32,
    count: u32,
    next: u32,
}

impl ConstantRate {
    /// Schedules `per_second` requests per second for `length`.
    #[must_use]
    pub fn new(per_second: u32, length: Duration) -> Self {
        let count = u128::from(per_second) * length.as_millis() / 1000;
        Self {
            per_second,
            count: u32::try_from(count).unwrap_or(u32::MAX),
            next: 0,
        }
    }
}

impl Iterator for ConstantRate {
    type Item = Duration;

    /// Returns the start of the next request, counted from the start of the load.
    fn next(&mut self) -> Option<Duration> {
        (self.next < self.count).then(|| {
            let due = Duration::from_secs(1) * self.next / self.per_second;
            self.next += 1;
            due
        })
    }
}
