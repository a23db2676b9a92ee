//! What a ticket claims, once its signature is checked.

use std::time::Duration;

use kernel::Incarnation;

use crate::Serial;

/// What a ticket claims. `gate` signs and reads it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// The incarnation that minted it and alone may run what is non-idempotent under it.
    pub home: Incarnation,
    /// The home's next record number when it was minted: a record of any call
    /// under this ticket has this number or a higher one, which bounds a search.
    pub floor: Serial,
    /// How long it still starts calls; zero once it has expired.
    pub remaining: Duration,
}
