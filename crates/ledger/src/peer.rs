//! Another host, as the ledger sees it.

use kernel::{DataCentre, Incarnation};

/// A host that may hold copies and answer for its claims.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Where it is.
    pub data_centre: DataCentre,
    /// How far it is.
    pub reach: Reach,
    /// Whether it stays.
    pub state: State,
}

/// How far another host is from this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reach {
    /// In the same region.
    Near,
    /// In another region.
    Far,
}

/// Whether another host stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum State {
    /// It stays.
    Live,
    /// It is shutting down and takes no copies.
    Leaving,
}
