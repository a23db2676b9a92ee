//! Comparison of the listing of endpoints in use with other hosts' listings.

use std::time::Duration;

use route::Revision;
use route::directory::Absence;

use crate::Coverage;

/// The properties of a listing of endpoints by which it is compared with another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListingMeta {
    /// The readings of the store, by any host, that led to the listing.
    pub coverage: Coverage,
    /// The fingerprint of its entries.
    pub fingerprint: u64,
    /// The store's revision from which on changes have to be read to keep the listing current.
    pub revision: Revision,
}

impl ListingMeta {
    /// Returns the time at which the listing was last read from the store, by this host or by one
    /// that reported it.
    #[must_use]
    pub fn at(&self) -> Duration {
        self.coverage.until()
    }

    /// Returns whether this listing replaces `known`: it is of a later revision, or was confirmed
    /// later.
    #[must_use]
    pub fn supersedes(&self, known: &Self) -> bool {
        (self.revision, self.at()) > (known.revision, known.at())
    }

    /// Returns this listing's properties with what `other`, which may be older or newer, shows of
    /// the time before. A store that was restored from a copy may lack entries, whatever the
    /// readings before.
    #[must_use]
    pub fn extended_by(self, other: &Self, shortest_outage: Duration) -> Self {
        if self.revision.era != other.revision.era {
            return self;
        }
        let coverage = self.coverage.extended_by(other.coverage, shortest_outage);
        Self { coverage, ..self }
    }

    /// Returns the meaning of an entry's absence.
    #[must_use]
    pub fn absence(&self) -> Absence {
        self.coverage.absence()
    }

    /// Returns whether endpoints that are absent from this listing may be live, and those absent
    /// from `later` are gone. The directory must then be compared with the listing, even if both
    /// have the same entries: it still has the endpoints that may have been live.
    pub(crate) fn reveals_removals(&self, later: &Self) -> bool {
        self.absence() == Absence::Lapsed && later.absence() == Absence::Gone
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
