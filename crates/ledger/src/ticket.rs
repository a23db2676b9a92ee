//! The contents of a verified ticket.

use std::time::Duration;

use kernel::Incarnation;

use crate::Serial;

/// The contents of a ticket. The `gate` crate signs and verifies tickets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// The incarnation that minted the ticket, the only one that may run at-most-once requests
    /// under it.
    pub home: Incarnation,
    /// The home's next serial when the ticket was minted. Records of calls under this ticket have
    /// this serial or a higher one, which limits a search.
    pub floor: Serial,
    /// The monotonic time of this process from which on the ticket starts no call.
    ///
    /// It isn't a remaining duration, because the host may be frozen between reading a call and
    /// passing it in. To compute it, read the monotonic time first, then add the remaining wall
    /// time: a freeze in between makes the ticket expire earlier, which is safe.
    pub expires: Duration,
}
