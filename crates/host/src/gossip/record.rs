//! The membership record of a host.

use kernel::Incarnation;
use serde::{Deserialize, Serialize};

use crate::Member;

/// The known state of one host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Name, addresses and location of the host.
    pub member: Member,
    /// The run of the host's process; later runs have higher values.
    pub incarnation: Incarnation,
    /// Incremented with each change that the host reports of itself in this run.
    pub sequence: u32,
    /// Current state of the host.
    pub state: State,
}

/// State of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum State {
    /// The store lists the host; this host has no record that the host reported itself, or the
    /// host was silent and the store lists other addresses.
    Listed,
    /// The host is running and can't serve callers yet.
    Starting,
    /// The host serves callers.
    Ready,
    /// The host was asked to stop.
    Leaving,
    /// The host was silent and didn't answer a probe. A live host refutes this claim with a
    /// higher sequence number.
    Silent,
    /// The host reported that it ends.
    Gone,
    /// The host serves callers through other hosts, since it reaches no endpoint.
    Isolated,
}

impl Record {
    /// Returns whether this record replaces `other`.
    ///
    /// A claim that a host is silent supersedes the last record that the host sent itself, and
    /// is superseded by its next one, in whichever order they arrive.
    pub(crate) fn supersedes(&self, other: &Self) -> bool {
        self.precedence() > other.precedence()
    }

    /// Returns whether the host is assumed to be running, so that updates are sent to it.
    #[must_use]
    pub fn is_live(&self) -> bool {
        !matches!(self.state, State::Silent | State::Gone)
    }

    fn precedence(&self) -> (u64, u32, bool) {
        let is_silent = self.state == State::Silent;
        (self.incarnation.0, self.sequence, is_silent)
    }
}
