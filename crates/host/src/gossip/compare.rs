//! Two hosts compare what they know of all.

use serde::{Deserialize, Serialize};

use super::{Record, Roster};

/// What a host knows, by tags and stamps: some 10 bytes a host where a record has
/// some 60.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    stamps: Vec<(u32, u32)>,
}

/// What two hosts know differently.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Comparison {
    /// What the answering host knows otherwise, or the asking one doesn't know.
    pub records: Vec<Record>,
    /// Hosts of which the answering host would like to know what the asking one does.
    pub wanted: Vec<u32>,
}

impl Digest {
    pub(super) fn of(roster: &Roster) -> Self {
        let mut stamps: Vec<_> = roster.stamps().map(|it| (it.0, short(it.1))).collect();
        stamps.sort_unstable();
        Self { stamps }
    }

    pub(super) fn compare(&self, roster: &Roster) -> Comparison {
        let find = |tag: u32| self.stamps.binary_search_by_key(&tag, |it| it.0);
        let mut comparison = Comparison::default();
        let mut same = 0;
        for (tag, stamp, record) in roster.stamps() {
            match find(tag).map(|at| self.stamps[at].1) {
                Ok(theirs) if theirs == short(stamp) => same += 1,
                Ok(_) => {
                    comparison.records.push(record.clone());
                    comparison.wanted.push(tag);
                }
                Err(_) => comparison.records.push(record.clone()),
            }
        }
        let known = same + comparison.wanted.len();
        if known < self.stamps.len() {
            let ours: std::collections::HashSet<_> = roster.stamps().map(|it| it.0).collect();
            let theirs = self.stamps.iter().map(|it| it.0);
            comparison
                .wanted
                .extend(theirs.filter(|it| !ours.contains(it)));
        }
        comparison
    }
}

fn short(stamp: u64) -> u32 {
    // The lower half is as good as all of it.
    u32::try_from(stamp & u64::from(u32::MAX)).unwrap_or_default()
}
