//! An incoming call.

use std::sync::Arc;

use derive_more::{Display, From};
use kernel::{Customer, RequestId};
use serde::{Deserialize, Serialize};

use crate::Ticket;

/// An incoming call, before any decision about it.
///
/// One request may arrive several times, at one host or at several; each arrival is a call of its
/// own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// The identifier of this arrival on this host.
    pub request: RequestId,
    /// The customer that is billed.
    pub customer: Customer,
    /// The caller's idempotency key.
    pub key: Option<Arc<str>>,
    /// The ticket that came with the key. Its signature has been verified.
    pub ticket: Option<Ticket>,
    /// The hash of path and body, which detects a key that is reused for another body.
    pub fingerprint: Fingerprint,
    /// Whether the request may run a second time.
    pub retry_policy: RetryPolicy,
    /// The sender of the call.
    pub via: Via,
}

/// A short hash of a call's path and body.
#[derive(Clone, Copy, Debug, Display, From, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[display("{_0:016x}")]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

/// Whether a request may run a second time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RetryPolicy {
    /// A second run is harmless, and both runs are billed once.
    Idempotent,
    /// The request runs at most once, for example a booking.
    AtMostOnce,
}

/// The sender of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Via {
    /// The caller.
    Caller,
    /// Another host, after [`crate::Action::Forward`]. Such a call isn't forwarded again, so hosts
    /// with different membership views can't forward a call in a loop.
    Peer,
}
