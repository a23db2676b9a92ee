//! The age of the billing records that aren't yet in the table.

use std::collections::VecDeque;
use std::time::Duration;

use ledger::Status;

/// Pairs of the number of records created so far and the time at which it was seen. A pair is kept
/// until as many records are written.
///
/// The first pair whose number is above that of the written records gives the age of the oldest
/// unwritten one, if the table takes records in the order of their creation. If it takes later
/// ones first, the oldest unwritten record is older.
#[derive(Debug, Default)]
pub(crate) struct Backlog {
    samples: VecDeque<(u64, Duration)>,
}

impl Backlog {
    /// Records the ledger's status at `now`. Called every second.
    pub(crate) fn record(&mut self, now: Duration, status: &Status) {
        let created = status.counters.records;
        let written = created.saturating_sub(status.held as u64);
        while self
            .samples
            .front()
            .is_some_and(|(created, _)| *created <= written)
        {
            self.samples.pop_front();
        }
        if created > written && self.samples.back().is_none_or(|(last, _)| *last < created) {
            self.samples.push_back((created, now));
        }
    }

    /// Returns the age of the oldest unwritten record, as of the last recorded status.
    pub(crate) fn oldest(&self, now: Duration) -> Duration {
        self.samples
            .front()
            .map_or(Duration::ZERO, |(_, at)| now.saturating_sub(*at))
    }
}
