//! Another host, as the ledger sees it.

use kernel::{DataCentre, Incarnation};

/// Another live host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its distance from this host.
    pub reach: Reach,
    /// Whether it is shutting down.
    pub state: PeerState,
}

/// The distance of another host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reach {
    /// In the same region.
    Near,
    /// In another region.
    Far,
}

/// Whether another host is shutting down.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PeerState {
    /// It isn't shutting down.
    Live,
    /// It is shutting down and accepts no copies.
    Leaving,
}
