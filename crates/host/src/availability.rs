//! Availability of the store to this host.

use std::time::Duration;

/// Availability of the store to this host, by the results of its own calls.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Availability {
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
    pub(crate) fn new(now: Duration) -> Self {
        Self {
            last_success: None,
            available_since: Some(now),
            ..Self::default()
        }
    }

    pub(crate) fn record_failure(&mut self, now: Duration) {
        self.available_since = None;
        self.failed_at = Some(now);
    }

    /// Records that the store responded to another host at `at`. Returns whether this host should
    /// call it again at once, because its own last call failed before that.
    ///
    /// It should only once until a call succeeds: a store that serves only the other hosts would
    /// otherwise be called as often as they hear from it.
    pub(crate) fn record_response_to_other(&mut self, at: Duration) -> bool {
        let is_news = self.failed_at.is_some_and(|it| it < at) && !self.has_heard;
        self.has_heard |= is_news;
        is_news
    }

    /// Records a successful call that began at `began`. Returns whether it is the first one after a
    /// failure.
    pub(crate) fn record_success(&mut self, began: Duration, now: Duration) -> bool {
        self.last_success = Some(now);
        self.failed_at = None;
        self.has_heard = false;
        if self.available_since.is_some() {
            return false;
        }
        self.available_since = Some(began);
        true
    }

    /// Returns the time of the last successful call.
    pub(crate) fn last_success(&self) -> Option<Duration> {
        self.last_success
    }

    /// Returns whether the store has responded to all calls that began at `at` or later. Calls that
    /// began earlier may have reached it while it didn't respond.
    pub(crate) fn has_been_available_since(&self, at: Duration) -> bool {
        self.available_since.is_some_and(|it| it <= at)
    }
}
