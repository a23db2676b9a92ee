//! A value of which callers see the past.

use std::collections::VecDeque;
use std::time::Duration;

/// A value whose changes are seen only after a lag.
#[derive(Debug)]
pub(crate) struct Lagged<T> {
    lag: Duration,
    past: VecDeque<(Duration, T)>,
}

impl<T> Lagged<T> {
    /// Starts with a value that is seen at once.
    pub(crate) fn new(lag: Duration, value: T) -> Self {
        Self {
            lag,
            past: VecDeque::from([(Duration::ZERO, value)]),
        }
    }

    pub(crate) fn set(&mut self, now: Duration, value: T) {
        self.forget(now);
        self.past.push_back((now, value));
    }

    /// Changes the lag of what has been set and of what will be.
    pub(crate) fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    pub(crate) fn newest(&self) -> &T {
        let (_, value) = self.past.back().expect("the past never gets empty");
        value
    }

    /// What a caller sees now.
    pub(crate) fn seen(&mut self, now: Duration) -> &T {
        self.forget(now);
        let (_, value) = self.past.front().expect("the past never gets empty");
        value
    }

    /// Forgets what lies behind the newest value old enough to be seen.
    fn forget(&mut self, now: Duration) {
        let visible = now.saturating_sub(self.lag);
        while self.past.get(1).is_some_and(|(set, _)| *set <= visible) {
            self.past.pop_front();
        }
    }
}
