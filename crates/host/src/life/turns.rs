//! Whose turn it is to ask the store.
//!
//! Each call is paid for, so few hosts read it and tell the others; see
//! `docs/design/relay.md` and `docs/design/gossip.md`.

use std::time::Duration;

use forward::Dialect;

use super::Life;
use crate::Store;

/// How many hosts read the store for all.
const READERS: usize = 2;
/// How long before the bound a host reads itself what it knows from others: an endpoint that
/// leaves may get no new work, and a configuration must be in force, by then. Turns, the
/// reading, and what is under way to an endpoint take part of it.
const MARGIN: Duration = Duration::from_millis(750);
/// The age at which it does so at the earliest: readers tell once a second.
const LEAST_STALE: Duration = Duration::from_millis(1_250);
/// What each place in the order of hosts adds to that, and the most places.
const TURN: Duration = Duration::from_millis(10);
const MOST_TURNS: usize = 25;
/// How long a host that has just started waits for others to tell it what they know,
/// to which each place in the order of hosts adds. Others that run tell it within some
/// 50 ms. Where all start at once the first few read, and a listing of thousands takes
/// them most of a second and as long to go round: a shorter wait would have hundreds
/// read what is on its way to them.
const START: Duration = Duration::from_millis(1_500);
const MOST_START_TURNS: usize = 100;
/// How long after its start a host begins to read for others: news of it has gone
/// round by then, and that of others which started with it. Longer, and what all know
/// would be too old before the first reader has confirmed it: each would ask itself.
const SETTLED: Duration = Duration::from_millis(300);
/// How many hosts that know nothing ask the store after they have waited for others
/// that long: one that runs has told them all by then. Where all start at once these
/// are the sources of the rest; a longer wait for two alone cost six hosts a fifth of a
/// second, in which each refused its callers.
const FIRST_READERS: usize = 8;
const GREETING: Duration = Duration::from_millis(50);

impl<S: Store, D: Dialect> Life<S, D> {
    /// Whether this host asks the store itself: it is one of the few that do, or
    /// what it knows is too old. Hosts further down the order wait a little
    /// longer, and most hear from those before them meanwhile.
    pub(crate) fn asks_store(&self, known_at: Option<Duration>) -> bool {
        let rank = self.rank();
        let is_first = known_at.is_none() && self.is_greeted() && rank < FIRST_READERS;
        if is_first || (self.reads_for_all() && self.is_settled()) {
            return true;
        }
        let (since, patience, most) = match known_at {
            Some(at) => (at, self.stale(), MOST_TURNS),
            None => (self.started, START, MOST_START_TURNS),
        };
        let turns = u32::try_from(rank.min(most)).unwrap_or_default();
        self.looked.get() && self.node.now().saturating_sub(since) >= patience + TURN * turns
    }

    /// The age at which this host reads itself what it knows from others.
    fn stale(&self) -> Duration {
        let follow = self.node.router().settings().follow;
        LEAST_STALE.max(follow.saturating_sub(MARGIN))
    }

    /// Whether another host was asked for what it knows, or none answers soon.
    fn is_greeted(&self) -> bool {
        let has_waited = self.node.now() >= self.started + GREETING;
        self.looked.get() && (self.greeted.get() || has_waited)
    }

    /// Whether this host has been running for so long that all others have heard of it.
    /// Of several that start at once each takes itself for the first until then, and
    /// knows already what it would ask for.
    fn is_settled(&self) -> bool {
        self.node.now() >= self.started + SETTLED
    }

    /// Whether this host is one of those that read the store for all. Before it has
    /// heard the others, of which it knows some entries at most, it can't tell.
    pub(crate) fn reads_for_all(&self) -> bool {
        self.is_greeted() && self.rank() < READERS
    }

    /// This host's place among those that live.
    pub(crate) fn rank(&self) -> usize {
        self.gossip.borrow().roster().rank()
    }
}
