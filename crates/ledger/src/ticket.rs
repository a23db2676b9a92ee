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
    /// The monotonic time of this process from which on it starts no call.
    ///
    /// It isn't the time left, since a host may be frozen between reading a
    /// call and passing it in. To be computed as the present time, read first,
    /// and what is left by wall time: a freeze between the two then makes the
    /// ticket expire sooner, which does no harm.
    pub expires: Duration,
}
