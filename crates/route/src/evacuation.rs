//! Evacuation of data centres by operators, as shared between hosts.

use std::collections::BTreeMap;

use derive_more::Display;
use kernel::DataCentre;
use serde::{Deserialize, Serialize};

use crate::Revision;

/// Data centres that are back in use are remembered only while fewer data centres than this are
/// known, so that arbitrary names can't fill the memory.
const MAX_OPEN: usize = 256;

/// An operator's latest change to a data centre's access.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuation {
    /// The data centre.
    pub data_centre: DataCentre,
    /// The store's revision at which it was written, or at which a full read showed that the data
    /// centre is back in use.
    pub revision: Revision,
    /// Whether its endpoints may be used.
    pub access: DataCentreAccess,
}

/// Whether a data centre's endpoints may be used.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum DataCentreAccess {
    /// They may be used.
    #[display("open")]
    Open,
    /// The data centre is evacuated; nothing more is sent to its endpoints.
    #[display("emptied")]
    #[serde(rename = "Emptied")]
    Evacuated,
}

/// The latest known access of each data centre.
///
/// Of two changes to a data centre, the one with the higher revision wins. Changes come from the
/// store and from other hosts, in any order.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    latest: BTreeMap<DataCentre, Evacuation>,
    /// The revision of the latest full read of the store.
    last_read: Option<Revision>,
}

impl Evacuations {
    /// Applies a change. Returns whether it changes which data centres may be used; also true for
    /// the end of an unknown evacuation if it isn't remembered because many data centres are known.
    ///
    /// A host that lags behind may still report an evacuation that operators have ended. The store
    /// no longer lists that data centre, so nothing would correct the report. A change to an
    /// unknown data centre is therefore ignored if the latest full read would have contained it.
    pub fn apply(&mut self, change: Evacuation) -> bool {
        let Some(known) = self.latest.get(&change.data_centre) else {
            let is_outdated = self
                .last_read
                .is_some_and(|last_read| is_covered_by(&change, last_read));
            return !is_outdated && self.insert_change(change);
        };
        if known.revision >= change.revision {
            return false;
        }
        let is_change = known.access != change.access;
        self.insert_change(change);
        is_change
    }

    /// Applies the complete list of evacuated data centres, as read from the store. Returns
    /// whether it changes which data centres may be used.
    ///
    /// A data centre that it lacks is back in use, unless it was evacuated after that read or in
    /// another era: a store restored from an older copy has lost later changes, which doesn't mean
    /// that operators undid them.
    pub fn apply_snapshot(&mut self, at: Revision, evacuated: Vec<Evacuation>) -> bool {
        let absent = self.latest.values().filter(|known| {
            let is_listed = evacuated
                .iter()
                .any(|it| it.data_centre == known.data_centre);
            known.access == DataCentreAccess::Evacuated && !is_listed && is_covered_by(known, at)
        });
        let taken_back: Vec<_> = absent
            .map(|it| Evacuation {
                data_centre: it.data_centre.clone(),
                revision: at,
                access: DataCentreAccess::Open,
            })
            .collect();
        let mut is_change = false;
        for it in taken_back.into_iter().chain(evacuated) {
            is_change |= self.apply(it);
        }
        self.last_read = self.last_read.max(Some(at));
        is_change
    }

    /// Returns whether a data centre is evacuated.
    #[must_use]
    pub fn is_evacuated(&self, data_centre: &DataCentre) -> bool {
        let known = self.latest.get(data_centre);
        known.is_some_and(|it| it.access == DataCentreAccess::Evacuated)
    }

    /// Returns all known changes, for other hosts.
    #[must_use]
    pub fn changes(&self) -> Vec<Evacuation> {
        self.latest.values().cloned().collect()
    }

    /// Returns the evacuated data centres.
    pub fn evacuated(&self) -> impl Iterator<Item = &DataCentre> {
        let evacuated = |it: &&Evacuation| it.access == DataCentreAccess::Evacuated;
        self.latest
            .values()
            .filter(evacuated)
            .map(|it| &it.data_centre)
    }

    fn insert_change(&mut self, change: Evacuation) -> bool {
        let is_evacuated = change.access == DataCentreAccess::Evacuated;
        if !is_evacuated && self.latest.len() >= MAX_OPEN {
            self.latest.remove(&change.data_centre);
            return false;
        }
        self.latest.insert(change.data_centre.clone(), change);
        is_evacuated
    }
}

/// Returns whether a full read at `read` would contain the change if it were still valid.
fn is_covered_by(change: &Evacuation, read: Revision) -> bool {
    change.revision.era == read.era && change.revision <= read
}
