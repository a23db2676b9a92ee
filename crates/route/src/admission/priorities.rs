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
/// Endpoints get the priority with the request, so a request waits behind those that are at least
/// as urgent. Their part of an endpoint's queue is taken to be their part of this host's requests.
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
        // All counts are compared at the same time, at which none of them has decayed to zero.
        let now = self.total.last();
        let ahead = &self.counts[..=index(priority)];
        let ahead: f64 = ahead.iter().map(|it| it.value(now)).sum();
        let total = self.total.value(now);
        if total > 0.0 {
            (ahead / total).min(1.0)
        } else {
            1.0
        }
    }
}

fn index(priority: u8) -> usize {
    usize::from(priority).min(PRIORITIES - 1)
}
