//! How long billing records have waited for the table.

use std::collections::VecDeque;
use std::time::Duration;

use ledger::Status;

/// When how many records had been made, while some of them wait.
///
/// The table takes records in the order in which they were made, so the oldest
/// that waits is the one after those that don't.
#[derive(Debug, Default)]
pub(crate) struct Backlog {
    made: VecDeque<(u64, Duration)>,
}

impl Backlog {
    /// Takes note of the ledger's state at `now`; called every second.
    pub(crate) fn note(&mut self, now: Duration, status: &Status) {
        let made = status.counters.records;
        let written = made.saturating_sub(status.held as u64);
        while self.made.front().is_some_and(|(made, _)| *made <= written) {
            self.made.pop_front();
        }
        if made > written && self.made.back().is_none_or(|(last, _)| *last < made) {
            self.made.push_back((made, now));
        }
    }

    /// The age of the oldest record that waits, as of the last note.
    pub(crate) fn oldest(&self, now: Duration) -> Duration {
        self.made
            .front()
            .map_or(Duration::ZERO, |(_, at)| now.saturating_sub(*at))
    }
}
