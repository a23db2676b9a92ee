//! The priorities of a service's requests.

use std::time::Duration;

use super::tally::Tally;

/// The number of priorities; larger ones count as the last.
const PRIORITIES: usize = 10;
/// The time constant of the counts. Long enough for a host with a request a second to see all
/// kinds of requests.
const TIME_CONSTANT: Duration = Duration::from_mins(1);

/// How many of a service's recent requests had each priority.
///
/// The other hosts' requests are taken to have the same priorities.
#[derive(Clone, Debug)]
pub(super) struct Priorities {
    counts: [Tally; PRIORITIES],
    total: Tally,
}

impl Default for Priorities {
    fn default() -> Self {
        Self {
            counts: [Tally::new(TIME_CONSTANT); PRIORITIES],
            total: Tally::new(TIME_CONSTANT),
        }
    }
}

impl Priorities {
    pub(super) fn record(&mut self, now: Duration, priority: u8) {
        self.counts[index(priority)].add(now);
        self.total.add(now);
    }

    /// Returns the fraction of requests that are at least as urgent as this priority; 1 if none is
    /// known.
    pub(super) fn fraction_ahead(&self, priority: u8) -> f64 {
        self.fraction(index(priority) + 1).unwrap_or(1.0)
    }

    /// Returns the fraction of requests that are more urgent than this priority; 0 if none is known.
    pub(super) fn fraction_overtaking(&self, priority: u8) -> f64 {
        self.fraction(index(priority)).unwrap_or(0.0)
    }

    /// Returns the fraction of requests with one of the `count` most urgent priorities.
    fn fraction(&self, count: usize) -> Option<f64> {
        // All counts are compared at the same time, at which the total hasn't decayed to zero.
        let now = self.total.last();
        let total = self.total.value(now);
        let chosen: f64 = self.counts[..count].iter().map(|it| it.value(now)).sum();
        (total > 0.0).then(|| (chosen / total).min(1.0))
    }
}

fn index(priority: u8) -> usize {
    usize::from(priority).min(PRIORITIES - 1)
}
