//! Membership records.

use std::net::SocketAddr;

use derive_more::Display;
use kernel::{DataCentre, Region};
use serde::{Deserialize, Serialize};

use crate::Identity;

/// The state of a member. A later variant overrides an earlier one of the same
/// incarnation and refutation; `Dead` overrides any refutation.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum State {
    /// It responds to probes.
    Alive,
    /// It responds to probes, but drains and is not offered to callers.
    Leaving,
    /// It didn't respond to a probe, neither directly nor via other hosts.
    Suspect,
    /// It didn't refute the suspicion in time. It may be partitioned rather than dead, so
    /// the same incarnation may become alive again.
    Unreachable,
    /// It announced its exit, was replaced by a higher incarnation, was fenced in the store,
    /// or stayed unreachable for too long. The state is final for the incarnation.
    Dead,
}

/// A member's record, as hosts send it to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The host and the incarnation of its process.
    pub identity: Identity,
    /// A number that the host increases to override what others report of this
    /// incarnation.
    pub refutation: u32,
    /// The state.
    pub state: State,
    /// The address at which it receives frames. An IPv6 scope isn't encoded, as it has no
    /// meaning on other hosts.
    pub fleet_address: SocketAddr,
    /// The address to which callers connect.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its region.
    pub region: Region,
}
