//! What is known of a member of the fleet.

use std::net::SocketAddr;

use derive_more::Display;
use kernel::{DataCentre, Region};
use serde::{Deserialize, Serialize};

use crate::Identity;

/// How a member is, from best known to last; a later state overrides an
/// earlier one of the same incarnation and refutation.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum State {
    /// It answers.
    Alive,
    /// It answers, and has asked to be omitted from hand-outs because it drains.
    Leaving,
    /// It has not answered a probe, neither directly nor through others.
    Suspect,
    /// Its suspicion ran out. It may be cut off rather than dead, so it may
    /// come back by itself as the same incarnation.
    Unreachable,
    /// It said goodbye, was replaced by a higher incarnation, or was fenced in
    /// the table. This is final for the incarnation.
    Dead,
}

/// A member's record as hosts pass it on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The host and the life of its process.
    pub identity: Identity,
    /// How often this incarnation has contradicted news of itself.
    pub refutation: u32,
    /// How it is.
    pub state: State,
    /// Where it takes frames. A scope isn't passed on, as it means nothing on
    /// another machine.
    pub fleet_address: SocketAddr,
    /// Where callers connect.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its region.
    pub region: Region,
}
