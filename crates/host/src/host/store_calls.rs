//! The availability of the store to a host, its long polls, and the pauses between calls.

use std::time::Duration;

use async_std::task::sleep;
use forward::Dialect;
use telemetry::{Event, Value};

use super::{Host, is_much_later};
use crate::follow::POLL_INTERVAL;
use crate::gossip::Contact;
use crate::{Backoff, Store};

/// Time after the last successful call to the store at which it counts as unreachable.
const STORE_CONTACT_TIMEOUT: Duration = Duration::from_millis(2_500);

impl<S: Store, D: Dialect> Host<S, D> {
    /// Returns [`Contact::Store`] if a call to the store succeeded recently.
    pub(crate) fn contact(&self) -> Contact {
        let now = self.node.now();
        match self.availability.get().last_success() {
            Some(at) if now.saturating_sub(at) < STORE_CONTACT_TIMEOUT => Contact::Store,
            _ => Contact::Lost,
        }
    }

    /// Returns the time as of which an answer that is read now shows the store's state. The store
    /// answers a poll once its wait is over at the latest, and an answer may have been waiting while
    /// this process stood still.
    pub(crate) fn answered_at(&self, began: Duration, wait: Duration) -> Duration {
        let received = self.received_at(self.node.now());
        received.max(began).min(began + wait)
    }

    /// Returns the earliest time at which something that is read now may have arrived: before now if
    /// this process stood still.
    pub(crate) fn received_at(&self, now: Duration) -> Duration {
        now.saturating_sub(self.stall.get().possible_delay(now))
    }

    /// Records that at `at`, the store still had the configuration that is in force. Returns
    /// whether `at` is enough later than the last known time to inform other hosts.
    pub(crate) fn confirm_config(&self, at: Duration) -> bool {
        let known = self.config_confirmed.get();
        self.config_confirmed.set(known.max(Some(at)));
        is_much_later(at, known)
    }

    /// Restarts the open long polls of the store that began before `before`.
    pub(crate) fn restart_long_polls(&self, before: Duration) {
        let polls = [
            ("news of documents", &self.documents_poll),
            ("news of verdicts", &self.verdicts_poll),
            ("news of endpoints", &self.endpoints_poll),
        ];
        for (call, poll) in polls {
            let Some(began) = poll.restart(before) else {
                continue;
            };
            let age = self.node.now().saturating_sub(began);
            self.recorder().log_event(
                Event::PollRestarted,
                &[("call", Value::Text(&call)), ("ms", Value::Time(age))],
            );
        }
    }

    /// Records that the store responded to another host at `at`. If this host is a reader and the
    /// store didn't respond to it before, its open polls are restarted, and its waits after failed
    /// calls end.
    ///
    /// Such a poll may never be answered, and in a large fleet such a wait takes seconds. While the
    /// readers are held up, the first host that hears from the store would keep all others from
    /// calling it, and nobody would learn of a change.
    pub(crate) fn hear_from_store(&self, at: Duration) {
        if !self.is_reader() {
            return;
        }
        let mut availability = self.availability.get();
        let is_news = availability.record_response_to_other(at);
        self.availability.set(availability);
        if is_news {
            self.store_returns.set(self.store_returns.get() + 1);
            self.restart_long_polls(at);
        }
    }

    /// Waits after a failed call to the store, until [`Self::hear_from_store`] ends the wait.
    pub(crate) async fn back_off(&self, backoff: &mut Backoff) {
        let returns = self.store_returns.get();
        let delay = backoff.next_delay(self.live_peer_count(), self.random_fraction());
        let until = self.node.now() + delay;
        while self.node.now() < until && self.store_returns.get() == returns {
            sleep(POLL_INTERVAL.min(until.saturating_sub(self.node.now()))).await;
        }
    }

    /// Returns the number of other live hosts.
    fn live_peer_count(&self) -> usize {
        self.host_count() - 1
    }
}
