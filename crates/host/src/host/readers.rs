//! Decides which hosts read the store.
//!
//! Each store call is billed, so a few hosts read it and inform the others; see
//! `docs/design/relay.md` and `docs/design/gossip.md`.

use std::time::Duration;

use forward::Dialect;

use super::Host;
use crate::{Store, shortest_outage, succession};

/// Least interval between two readings of the same state by a reader.
const MIN_READ_INTERVAL: Duration = Duration::from_secs(1);
/// Least age of the known state at which a host that isn't a reader reads the store: readers
/// send what they read once a second.
const MIN_READ_AGE: Duration = Duration::from_millis(1_250);
/// Time after its start at which a host begins to read on behalf of others. By then its own
/// record, and those of hosts that started with it, have spread. Must be shorter than the
/// time after which hosts read the store themselves, or each would do so before a reader
/// confirms its state.
const ANNOUNCE_TIME: Duration = Duration::from_millis(300);
/// Time that a host of the first ranks waits, counted from its start, for the state of a running
/// host before it may read the store. If all hosts were down, nobody answers, and all wait for it.
const BOOTSTRAP_TIMEOUT: Duration = Duration::from_millis(50);

/// The time after which the standby reads, beyond the interval between readings and as a fraction
/// of it. Longer than an update takes from the reader to the standby.
const STANDBY_DELAY_FRACTION: f64 = 0.15;

impl<S: Store, D: Dialect> Host<S, D> {
    /// Returns whether this host should follow state in the store that it knows as of `known_at`.
    /// The second reader does so only when the first is late: it is a standby, and each call is
    /// billed. What delays the first reader's calls then doesn't delay its own.
    pub(crate) fn should_follow_store(&self, known_at: Option<Duration>) -> bool {
        let late = self.read_interval().mul_f64(1.0 + STANDBY_DELAY_FRACTION);
        let is_fresh = known_at.is_some_and(|at| self.node.now() < at + late);
        match self.rank() {
            1 if is_fresh => false,
            _ => self.should_read_store(known_at),
        }
    }

    /// Returns whether this host should read the store itself, given that its state is as of
    /// `known_at`.
    ///
    /// It should if it is a reader that all others know, or if it has attempted to join and its
    /// state is too old or hasn't arrived in time. In the last case, hosts of a higher rank
    /// wait longer, and most get an update from lower ranks in the meantime.
    pub(crate) fn should_read_store(&self, known_at: Option<Duration>) -> bool {
        if self.is_reader() && self.is_known_to_all() {
            return true;
        }
        let (since, wait) = match known_at {
            Some(at) => (at, self.read_age() + succession::read_delay(self.rank())),
            None => (
                self.state_received.get().unwrap_or(self.started),
                succession::startup_delay(self.startup_rank(), self.host_count()),
            ),
        };
        // A host that is still asking others for their state may not know its rank.
        let is_asking = known_at.is_none() && !self.has_bootstrap_ended();
        self.join_attempted.get() && !is_asking && self.node.now().saturating_sub(since) >= wait
    }

    /// Returns the age at which this host reads the store itself instead of relying on
    /// other hosts.
    fn read_age(&self) -> Duration {
        let follow = self.node.router().settings().max_propagation_delay;
        MIN_READ_AGE.max(follow.saturating_sub(succession::READ_MARGIN))
    }

    /// Returns whether other hosts are sending this one its first listing of endpoints. It then
    /// needn't read the store, whatever the size of the listing and its rank.
    pub(crate) fn is_receiving_listing(&self) -> bool {
        /// Longest time between two pages of a transfer in progress.
        const MAX_PAUSE: Duration = Duration::from_secs(1);
        let received = self.state_received.get();
        let is_recent = received.is_some_and(|it| self.node.now() < it + MAX_PAUSE);
        self.is_fetching_listing.get() && is_recent
    }

    /// Returns the interval between two readings of the same state by a reader. Each reading is
    /// billed, and the next one must reach all hosts before they read for themselves.
    pub(crate) fn read_interval(&self) -> Duration {
        /// Fraction of the age at which hosts read for themselves; the rest is for the reading and
        /// its way to all hosts.
        const FRACTION: f64 = 0.6;
        /// Fraction of the shortest outage in which entries lapse. Between two readings that are
        /// farther apart, there may have been one.
        const OUTAGE_FRACTION: f64 = 0.75;
        let interval = MIN_READ_INTERVAL.max(self.read_age().mul_f64(FRACTION));
        interval.min(self.shortest_outage().mul_f64(OUTAGE_FRACTION))
    }

    /// Returns the duration of the shortest outage of the store in which entries of live endpoints
    /// lapse.
    pub(crate) fn shortest_outage(&self) -> Duration {
        shortest_outage(self.node.router().settings().heartbeat)
    }

    /// Returns how long a reader waits for changes before it asks again.
    pub(crate) fn poll_wait(&self) -> Duration {
        /// Time for the call itself.
        const CALL_TIME: Duration = Duration::from_millis(50);
        self.read_interval().saturating_sub(CALL_TIME)
    }

    /// Returns whether the attempt to get state from other hosts has ended, or timed out on a host
    /// of the first ranks.
    ///
    /// The others take the answer of a running host as late as it comes: a busy one needs longer
    /// than the timeout, and hosts that start together would all read the store meanwhile.
    fn has_bootstrap_ended(&self) -> bool {
        let has_timed_out = self.node.now() >= self.started + BOOTSTRAP_TIMEOUT
            && self.startup_rank() < succession::READER_COUNT;
        self.join_attempted.get() && (self.bootstrap_attempted.get() || has_timed_out)
    }

    /// Returns whether this host has been running long enough to be known to all others.
    /// Until then, each of several hosts that start at once may have rank 0 in its own roster.
    fn is_known_to_all(&self) -> bool {
        self.node.now() >= self.started + ANNOUNCE_TIME
    }

    /// Returns whether this host reads the store on behalf of all. Until its
    /// bootstrap has ended or timed out, its roster is incomplete, and it doesn't count itself
    /// as one.
    pub(crate) fn is_reader(&self) -> bool {
        self.has_bootstrap_ended() && self.rank() < succession::READER_COUNT
    }

    pub(super) fn host_count(&self) -> usize {
        self.gossip.borrow().roster().count()
    }

    /// Returns this host's rank while it may not know most of the others.
    ///
    /// If the store lists others and not this host, these come first, whatever the order: with a
    /// roster that still lacks most hosts, many would take themselves for one of the first.
    fn startup_rank(&self) -> usize {
        let rank = self.rank();
        if self.is_registered.get() {
            return rank;
        }
        rank.max(self.hosts_found.get().unwrap_or_default())
    }

    /// Returns this host's rank in the order of hosts, from 0.
    pub(crate) fn rank(&self) -> usize {
        self.gossip.borrow().roster().rank()
    }
}
