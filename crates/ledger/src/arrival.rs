//! A call as it arrives.

use std::sync::Arc;

use derive_more::{Display, From};
use kernel::{Customer, RequestId};
use serde::{Deserialize, Serialize};

use crate::Ticket;

/// A call as it arrives, before anything was decided about it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// This host's name for it.
    pub request: RequestId,
    /// The customer on whose account it runs.
    pub customer: Customer,
    /// The caller's idempotency key.
    pub key: Option<Arc<str>>,
    /// The ticket that came with the key, its signature checked.
    pub ticket: Option<Ticket>,
    /// What it asks for, so that a key used twice for different bodies is noticed.
    pub fingerprint: Fingerprint,
    /// Whether a second run does harm.
    pub repeat: Repeat,
    /// Who brought it.
    pub via: Via,
}

/// A short hash of a call's path and body.
#[derive(Clone, Copy, Debug, Display, From, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[display("{_0:016x}")]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

/// Whether a call may run a second time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Repeat {
    /// A second run does no harm and is billed with the first one.
    Idempotent,
    /// It runs at most once, such as a booking or a catalogue entry.
    NonIdempotent,
}

/// Who brought a call to this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Via {
    /// The caller.
    Caller,
    /// Another host, on [`crate::Action::Forward`]. It isn't forwarded again,
    /// so that hosts with different views can't pass a call in a circle.
    Peer,
}
