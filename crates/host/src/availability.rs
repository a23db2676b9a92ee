//! Availability of the store to this host.

use std::time::Duration;

/// Availability of the store to this host, by the results of its own calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct Availability {
    last_success: Option<Duration>,
    /// The time from which on the store is known to respond; `None` since a failure, until a call
    /// succeeds.
    available_since: Option<Duration>,
    /// The last failure since the last success.
    failed_at: Option<Duration>,
    /// Whether the store's response to another host was taken into account since the last success.
    has_heard: bool,
}

impl Availability {
    /// Creates the state of a host that has made no call yet. A first failed call counts as an
    /// outage.
    #[must_use]
    pub fn new(now: Duration) -> Self {
        Self {
            last_success: None,
            available_since: Some(now),
            ..Self::default()
        }
    }

    /// Records a failed call.
    pub fn record_failure(&mut self, now: Duration) {
        self.available_since = None;
        self.failed_at = Some(now);
    }

    /// Records that the store responded to another host at `at`. Returns whether this host should
    /// call it again at once, because its own last call failed before that.
    ///
    /// It should only once until a call succeeds: a store that serves only the other hosts would
    /// otherwise be called as often as they hear from it.
    pub fn record_response_to_other(&mut self, at: Duration) -> bool {
        let is_news = self.failed_at.is_some_and(|it| it < at) && !self.has_heard;
        self.has_heard |= is_news;
        is_news
    }

    /// Records a successful call that began at `began`. If it is the first one after a failure,
    /// returns the time from which on the store is known to respond: calls that began earlier may
    /// never be answered.
    pub fn record_success(&mut self, began: Duration, now: Duration) -> Option<Duration> {
        let failed_at = self.failed_at.take();
        self.last_success = Some(now);
        self.has_heard = false;
        if self.available_since.is_some() {
            return None;
        }
        // A call that began before the failure proves nothing of the time of the failure.
        self.available_since = failed_at.max(Some(began));
        self.available_since
    }

    /// Returns the time of the last successful call.
    #[must_use]
    pub fn last_success(&self) -> Option<Duration> {
        self.last_success
    }

    /// Returns whether the store is known to have responded from `at` until now.
    #[must_use]
    pub fn has_been_available_since(&self, at: Duration) -> bool {
        self.available_since.is_some_and(|it| it <= at)
    }
}
