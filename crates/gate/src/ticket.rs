//! The ticket that binds the calls made under it to one host incarnation.
//!
//! Only the incarnation that issued a ticket may run the calls made under it, so
//! it can tell whether a key was run without querying the store; see
//! `docs/design/ledger.md`.

use std::time::Duration;

use kernel::{HostName, Incarnation, Secret};
use serde::{Deserialize, Serialize};

use crate::problem::{Problem, Reason};
use crate::seal;

const PREFIX: &str = "t1.";
const VIA_PREFIX: &str = "v1.";

/// A ticket, issued in the response to `GET /v1/hosts`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ticket {
    /// The incarnation that may run calls under this ticket.
    pub incarnation: Incarnation,
    /// The host of that incarnation.
    pub host: HostName,
    /// Wall time, since the Unix epoch, after which the incarnation starts no call
    /// under this ticket.
    pub expiry: Duration,
    /// The number of the incarnation's next billing record when the ticket was
    /// issued. Records of calls made under the ticket have this number or a higher
    /// one.
    pub floor: u64,
}

impl Ticket {
    /// Encodes and signs the ticket as a header value.
    #[must_use]
    pub fn seal(&self, secret: &Secret) -> String {
        seal::seal(secret, PREFIX, self)
    }

    /// Verifies and decodes a ticket.
    ///
    /// # Errors
    /// Returns a 400 problem if the ticket wasn't issued by this system.
    pub fn open(secret: &Secret, text: &str) -> Result<Self, Problem> {
        seal::open(secret, PREFIX, text).ok_or_else(|| {
            Problem::not_run(
                Reason::BadRequest,
                "barleypin-ticket: is not a ticket of this system; GET /v1/hosts gives one",
            )
        })
    }
}

/// Returns a proof that the sender of a call under this ticket is a host, not a
/// caller.
#[must_use]
pub fn forwarding_proof(secret: &Secret, ticket: &str) -> String {
    seal::seal(secret, VIA_PREFIX, &ticket)
}

/// Returns whether `proof` was made by [`forwarding_proof`] for this ticket.
#[must_use]
pub fn is_forwarding_proof(secret: &Secret, ticket: &str, proof: &str) -> bool {
    seal::open::<String>(secret, VIA_PREFIX, proof).is_some_and(|it| it == ticket)
}
