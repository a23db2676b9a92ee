//! Which data centres operators have emptied, as hosts hear of it.

use std::collections::BTreeMap;

use derive_more::Display;
use kernel::DataCentre;
use serde::{Deserialize, Serialize};

use crate::Revision;

/// The most data centres that are remembered as taken back: names that somebody makes up
/// must not fill the memory.
const MOST_OPEN: usize = 256;

/// What operators last said of a data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuation {
    /// The data centre.
    pub data_centre: DataCentre,
    /// When they said it.
    pub revision: Revision,
    /// Whether its endpoints may be used.
    pub access: Access,
}

/// Whether a data centre's endpoints may be used.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum Access {
    /// They may: it was taken back.
    #[display("open")]
    Open,
    /// Nothing more is to be sent to them.
    #[display("emptied")]
    Emptied,
}

/// Which data centres operators have emptied.
///
/// Of two words on a data centre the later one holds, by its revision. Words come from the
/// store and from other hosts, in any order.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    words: BTreeMap<DataCentre, Evacuation>,
    /// When the store was last read whole.
    read: Option<Revision>,
}

impl Evacuations {
    /// Takes a word, and says whether it changes what may be used.
    ///
    /// Failure: a host that has read the store hears from one that is behind that a data
    /// centre is emptied, which operators have taken back since; nothing would ever undo
    /// that, since the store tells of the taking back no more. What the whole reading
    /// would have shown, and didn't, is no longer so.
    pub fn hear(&mut self, said: Evacuation) -> bool {
        let Some(known) = self.words.get(&said.data_centre) else {
            let is_outdated = self.read.is_some_and(|read| is_covered(&said, read));
            return !is_outdated && self.put(said);
        };
        if known.revision >= said.revision {
            return false;
        }
        let is_change = known.access != said.access;
        self.put(said);
        is_change
    }

    /// Takes all that the store has at a moment, and says whether it changes anything.
    ///
    /// What it doesn't have was taken back, unless it was said in an earlier era: a store
    /// that came back from an older copy has lost what was said since, and nobody has
    /// taken it back.
    pub fn read(&mut self, at: Revision, emptied: Vec<Evacuation>) -> bool {
        let absent = self.words.values().filter(|known| {
            let is_listed = emptied.iter().any(|it| it.data_centre == known.data_centre);
            known.access == Access::Emptied && !is_listed && is_covered(known, at)
        });
        let taken_back: Vec<_> = absent
            .map(|it| Evacuation {
                data_centre: it.data_centre.clone(),
                revision: at,
                access: Access::Open,
            })
            .collect();
        let mut is_change = false;
        for it in taken_back.into_iter().chain(emptied) {
            is_change |= self.hear(it);
        }
        self.read = self.read.max(Some(at));
        is_change
    }

    /// Whether nothing more is to be sent to a data centre's endpoints.
    #[must_use]
    pub fn is_emptied(&self, data_centre: &DataCentre) -> bool {
        let word = self.words.get(data_centre);
        word.is_some_and(|it| it.access == Access::Emptied)
    }

    /// What is known, for other hosts.
    #[must_use]
    pub fn news(&self) -> Vec<Evacuation> {
        self.words.values().cloned().collect()
    }

    /// The data centres that are emptied.
    pub fn emptied(&self) -> impl Iterator<Item = &DataCentre> {
        let emptied = |it: &&Evacuation| it.access == Access::Emptied;
        self.words
            .values()
            .filter(emptied)
            .map(|it| &it.data_centre)
    }

    fn put(&mut self, said: Evacuation) -> bool {
        let is_emptied = said.access == Access::Emptied;
        if !is_emptied && self.words.len() >= MOST_OPEN {
            self.words.remove(&said.data_centre);
            return true;
        }
        self.words.insert(said.data_centre.clone(), said);
        is_emptied
    }
}

/// Whether a whole reading at this moment shows what was said then, if it still holds.
fn is_covered(said: &Evacuation, read: Revision) -> bool {
    said.revision.era == read.era && said.revision <= read
}
