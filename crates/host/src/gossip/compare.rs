//! Comparison of two hosts' rosters, which repairs lost updates.

use serde::{Deserialize, Serialize};

use super::{Record, Roster};

/// Compact form of a roster: pairs of a name hash and a record hash.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    stamps: Vec<(u32, u32)>,
}

/// The differences between two rosters.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Comparison {
    /// Records that differ, or that the requesting host lacks.
    pub records: Vec<Record>,
    /// Name hashes of the hosts whose records the responding host asks for.
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
    u32::try_from(stamp & u64::from(u32::MAX)).unwrap_or_default()
}
