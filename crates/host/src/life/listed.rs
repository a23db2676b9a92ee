//! The listing of endpoints in use, as far as it is compared with others.

use std::time::Duration;

use route::directory::Absence;

/// A listing of endpoints, as far as it is compared with others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Listed {
    /// When it was read.
    pub(crate) at: Duration,
    /// What an absent entry means in it.
    pub(crate) absence: Absence,
    pub(crate) fingerprint: u64,
}

impl Listed {
    /// Whether a later listing with this fingerprint tells nothing that this one doesn't.
    ///
    /// The same entries tell more where an absent one means that its endpoint is gone,
    /// and didn't before: after an outage of the store, endpoints are kept in use whose
    /// entries may only have lapsed. Taken for the same, the later listing never reached
    /// the directory, and an endpoint that was lost in the outage got requests for as
    /// long as no other entry changed.
    pub(crate) fn covers(&self, fingerprint: u64, absence: Absence) -> bool {
        let tells_of_gone = self.absence == Absence::Lapsed && absence == Absence::Gone;
        self.fingerprint == fingerprint && !tells_of_gone
    }
}

/// Whether something is worth telling on at once that was read at this time.
pub(crate) fn is_much_later(at: Duration, known: Option<Duration>) -> bool {
    /// Less than the hosts' reading period, so that each reading goes round once,
    /// and more than two readings that happen to come together are apart.
    const MUCH: Duration = Duration::from_millis(300);
    known.is_none_or(|known| at >= known + MUCH)
}
