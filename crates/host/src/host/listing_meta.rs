//! Comparison of the listing of endpoints in use with other hosts' listings.

use std::time::Duration;

use route::Revision;
use route::directory::Absence;

/// The properties of a listing of endpoints by which it is compared with another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ListingMeta {
    /// The time at which it was last read from the store, by this host or by one that reported it.
    pub(crate) at: Duration,
    /// The meaning of an entry's absence.
    pub(crate) absence: Absence,
    pub(crate) fingerprint: u64,
    /// The store's revision from which on changes have to be read to keep the listing current.
    pub(crate) revision: Revision,
}

impl ListingMeta {
    /// Returns whether this listing replaces `known`: it is of a later revision, or was confirmed
    /// later.
    pub(crate) fn supersedes(&self, known: &Self) -> bool {
        (self.revision, self.at) > (known.revision, known.at)
    }

    /// Returns whether a later listing with this fingerprint adds nothing to this one.
    ///
    /// A listing with the same entries still matters if an absent entry meant `Lapsed` before
    /// and means `Gone` now. After an outage of the store, endpoints whose entries may only
    /// have lapsed stay in use. If the later listing counted as equal, it wouldn't reach the
    /// directory, and an endpoint that was lost in the outage would get requests until
    /// some other entry changes.
    pub(crate) fn covers(&self, fingerprint: u64, absence: Absence) -> bool {
        self.fingerprint == fingerprint && !self.reveals_removals(absence)
    }

    /// Returns whether endpoints that are absent from this listing may be live, and those absent
    /// from a later one with this meaning of an absence are gone.
    pub(crate) fn reveals_removals(&self, absence: Absence) -> bool {
        self.absence == Absence::Lapsed && absence == Absence::Gone
    }
}

/// Returns whether something read at `at` is enough newer than `known` to be sent on
/// immediately.
pub(crate) fn is_much_later(at: Duration, known: Option<Duration>) -> bool {
    /// Less than the interval between readings, so that each reading is sent on once,
    /// and more than the gap between two readings that happen to coincide.
    const MIN_DIFFERENCE: Duration = Duration::from_millis(300);
    known.is_none_or(|known| at >= known + MIN_DIFFERENCE)
}
