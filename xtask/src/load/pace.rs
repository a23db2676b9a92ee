//! When each request of an open-loop load is due.

use std::time::Duration;

/// Requests at even distances.
#[derive(Clone, Debug)]
pub struct Pace {
    per_second: u32,
    count: u32,
    next: u32,
}

impl Pace {
    /// So many a second, for so long.
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

impl Iterator for Pace {
    type Item = Duration;

    /// When the next request is due, from the start.
    fn next(&mut self) -> Option<Duration> {
        (self.next < self.count).then(|| {
            let due = Duration::from_secs(1) * self.next / self.per_second;
            self.next += 1;
            due
        })
    }
}
