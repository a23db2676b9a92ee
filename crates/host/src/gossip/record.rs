//! What is known of one host.

use kernel::Incarnation;
use serde::{Deserialize, Serialize};

use crate::Member;

/// What is known of one host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Who and where it is.
    pub member: Member,
    /// The life of its process; a later life has a higher one.
    pub incarnation: Incarnation,
    /// Rises with each thing that the host says of itself in this life.
    pub number: u32,
    /// How it is.
    pub state: State,
}

/// How a host is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum State {
    /// The store lists it; nobody has heard it yet.
    Listed,
    /// It lives and can't serve callers yet.
    Starting,
    /// It serves callers.
    Ready,
    /// It was asked to stop.
    Leaving,
    /// Those who should hear it don't, and it didn't answer when asked. It contradicts
    /// if it lives.
    Silent,
    /// It said that it ends.
    Gone,
}

impl Record {
    /// Whether this was said later than `other`.
    ///
    /// That a host is silent goes before what it said of itself last, and after what
    /// it says next, in whichever order both arrive.
    pub(crate) fn is_later(&self, other: &Self) -> bool {
        self.order() > other.order()
    }

    /// Whether callers or news may be sent there.
    #[must_use]
    pub fn is_live(&self) -> bool {
        !matches!(self.state, State::Silent | State::Gone)
    }

    fn order(&self) -> (u64, u32, bool) {
        let is_silent = self.state == State::Silent;
        (self.incarnation.0, self.number, is_silent)
    }
}
