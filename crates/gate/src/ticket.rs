//! The ticket that ties a request key to one host incarnation.
//!
//! Only the incarnation that minted a ticket may run the calls made under it,
//! so that it alone can tell whether a key was run, without the store; see
//! `docs/design/ledger.md`.

use std::time::Duration;

use kernel::{HostName, Incarnation, Secret};
use serde::{Deserialize, Serialize};

use crate::problem::{Problem, Reason};
use crate::seal;

const PREFIX: &str = "t1.";
const VIA_PREFIX: &str = "v1.";

/// A ticket, minted with the answer to `GET /v1/hosts`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ticket {
    /// The incarnation that may run calls under this ticket.
    pub incarnation: Incarnation,
    /// The host of that incarnation.
    pub host: HostName,
    /// Wall time since the Unix epoch after which it starts no call.
    pub expiry: Duration,
    /// The number of the incarnation's next billing record when it was minted.
    pub floor: u64,
}

impl Ticket {
    /// The ticket as a header value.
    #[must_use]
    pub fn seal(&self, secret: &Secret) -> String {
        seal::seal(secret, PREFIX, self)
    }

    /// Reads a ticket.
    ///
    /// # Errors
    /// A 400 problem when it wasn't minted by this system.
    pub fn open(secret: &Secret, text: &str) -> Result<Self, Problem> {
        seal::open(secret, PREFIX, text).ok_or_else(|| {
            Problem::not_run(
                Reason::BadRequest,
                "barleypin-ticket: is not a ticket of this system; GET /v1/hosts gives one",
            )
        })
    }
}

/// The proof that a host, not a caller, sends a call under this ticket.
#[must_use]
pub fn pass_on(secret: &Secret, ticket: &str) -> String {
    seal::seal(secret, VIA_PREFIX, &ticket)
}

/// Whether `proof` is what [`pass_on`] made for this ticket.
#[must_use]
pub fn is_passed_on(secret: &Secret, ticket: &str, proof: &str) -> bool {
    seal::open::<String>(secret, VIA_PREFIX, proof).is_some_and(|it| it == ticket)
}
