//! A value whose readers see changes after a lag.

use std::collections::VecDeque;
use std::time::Duration;

/// A value whose changes become visible after a lag.
#[derive(Debug)]
pub(crate) struct Lagged<T> {
    lag: Duration,
    history: VecDeque<(Duration, T)>,
}

impl<T> Lagged<T> {
    /// Creates a value that is visible at once.
    pub(crate) fn new(lag: Duration, value: T) -> Self {
        Self {
            lag,
            history: VecDeque::from([(Duration::ZERO, value)]),
        }
    }

    pub(crate) fn set(&mut self, now: Duration, value: T) {
        self.remove_superseded(now);
        self.history.push_back((now, value));
    }

    /// Sets the lag, also for values that are not visible yet.
    pub(crate) fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    pub(crate) fn latest(&self) -> &T {
        let (_, value) = self.history.back().expect("the history is never empty");
        value
    }

    /// Returns the value that is visible at `now`.
    pub(crate) fn visible_at(&mut self, now: Duration) -> &T {
        self.remove_superseded(now);
        let (_, value) = self.history.front().expect("the history is never empty");
        value
    }

    /// Removes the values that are older than the visible one.
    fn remove_superseded(&mut self, now: Duration) {
        let visible = now.saturating_sub(self.lag);
        while self.history.get(1).is_some_and(|(set, _)| *set <= visible) {
            self.history.pop_front();
        }
    }
}
