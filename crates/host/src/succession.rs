//! The order in which hosts read the store when no news of it arrives.
//!
//! A few hosts read on behalf of all. When they fail, the next few take over, and each group is
//! twice as large as the one before it: one that works informs the others before their turn, so
//! the number of calls doesn't follow the size of the fleet. See `docs/design/fleet.md`.

use std::time::Duration;

use crate::gossip::Graph;

/// Number of hosts that read the store on behalf of all.
pub const READER_COUNT: usize = 2;
/// Margin before the propagation bound at which a host reads the store itself. By that
/// bound an endpoint that leaves must get no new requests and a configuration must be in
/// force. Rank delays, the reading, and requests on their way to an endpoint use part of
/// the margin.
pub const READ_MARGIN: Duration = Duration::from_millis(750);
/// Delay between two groups of hosts that know a state and read the store because it is too old.
const GROUP_DELAY: Duration = Duration::from_millis(40);
/// Number of hosts that read the store, by rank, before failure detection has removed those of
/// them that are dead from the order.
const MAX_SUCCESSORS: usize = 64;
/// Delay of all further hosts that read. Long enough for one of the hosts before them to inform
/// them, and shorter than [`READ_MARGIN`]: whatever keeps the updates from a host, it reads before
/// the bound. While the store is away, all hosts call it once.
const LAST_DELAY: Duration = Duration::from_millis(490);

/// Number of hosts that read the store soon after a start in which no other host gave them state.
const STARTUP_READER_COUNT: usize = 8;
/// Delay between two groups of those hosts.
const STARTUP_READER_DELAY: Duration = Duration::from_millis(100);
/// Time that further hosts wait for state, counted from their start. Long enough for a few hosts
/// to read a listing and for it to spread in a small fleet.
const STARTUP_WAIT: Duration = Duration::from_millis(1_500);
/// Time added for each hop of gossip from this number on.
const STARTUP_HOP_WAIT: Duration = Duration::from_millis(500);
const FREE_HOPS: u32 = 3;
/// Delay between two groups of further hosts.
const STARTUP_GROUP_DELAY: Duration = Duration::from_millis(150);

/// Returns how long a host of this rank waits, from the age at which its state is too old, before
/// it reads the store itself.
#[must_use]
pub fn read_delay(rank: usize) -> Duration {
    if rank < MAX_SUCCESSORS {
        GROUP_DELAY * group(rank)
    } else {
        LAST_DELAY
    }
}

/// Returns how long a host of this rank waits before it writes what all hosts know to the store, by
/// steps in which the others learn that it is written; `None` if it leaves that to others.
///
/// While the store accepts no writes, all hosts whose turn it is retry.
#[must_use]
pub fn write_delay(rank: usize, step: Duration) -> Option<Duration> {
    /// Number of hosts that write one after another; the further ones write at the same time.
    const SINGLE_WRITERS: usize = 8;
    let steps = u32::try_from(rank.min(SINGLE_WRITERS)).unwrap_or_default();
    (rank < MAX_SUCCESSORS).then_some(step * steps)
}

/// Returns how long a host of this rank waits, from its start or from the last state that it
/// received since, before it reads the store itself.
#[must_use]
pub fn startup_delay(rank: usize, hosts: usize) -> Duration {
    if rank < STARTUP_READER_COUNT {
        return STARTUP_READER_DELAY * group(rank);
    }
    let hops = Graph::estimated_hops(hosts).saturating_sub(FREE_HOPS);
    STARTUP_WAIT + STARTUP_HOP_WAIT * hops + STARTUP_GROUP_DELAY * group(rank)
}

/// Returns the group that a rank belongs to: the readers are group 0, and each further group is
/// twice as large as the one before it.
fn group(rank: usize) -> u32 {
    (rank / READER_COUNT + 1).ilog2()
}
