//! Availability of the store to this host.

use std::time::Duration;

/// Availability of the store to this host, by the results of its own calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct Availability {
    last_success: Option<Duration>,
    /// The last failure since the last success.
    failed_at: Option<Duration>,
    /// Whether the store's response to another host was taken into account since the last success.
    has_heard: bool,
}

impl Availability {
    /// Records a failed call.
    pub fn record_failure(&mut self, now: Duration) {
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
        self.last_success = Some(now);
        self.has_heard = false;
        // A call that began before the failure proves nothing of the time of the failure.
        self.failed_at.take().map(|it| it.max(began))
    }

    /// Returns the time of the last successful call.
    #[must_use]
    pub fn last_success(&self) -> Option<Duration> {
        self.last_success
    }
}
