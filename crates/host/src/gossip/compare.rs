//! Comparison of two hosts' rosters, which repairs lost updates.

use serde::{Deserialize, Serialize};

use super::{Record, Roster};

/// Compact form of a roster: pairs of a name hash and a record hash.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    hashes: Vec<(u32, u32)>,
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
        let mut hashes: Vec<_> = roster.hashes().map(|it| (it.0, low_bits(it.1))).collect();
        hashes.sort_unstable();
        Self { hashes }
    }

    pub(super) fn compare(&self, roster: &Roster) -> Comparison {
        let find = |name_hash: u32| self.hashes.binary_search_by_key(&name_hash, |it| it.0);
        let mut comparison = Comparison::default();
        let mut same = 0;
        for (name_hash, record_hash, record) in roster.hashes() {
            match find(name_hash).map(|at| self.hashes[at].1) {
                Ok(theirs) if theirs == low_bits(record_hash) => same += 1,
                Ok(_) => {
                    comparison.records.push(record.clone());
                    comparison.wanted.push(name_hash);
                }
                Err(_) => comparison.records.push(record.clone()),
            }
        }
        let known = same + comparison.wanted.len();
        if known < self.hashes.len() {
            let ours: std::collections::HashSet<_> = roster.hashes().map(|it| it.0).collect();
            let theirs = self.hashes.iter().map(|it| it.0);
            comparison
                .wanted
                .extend(theirs.filter(|it| !ours.contains(it)));
        }
        comparison
    }
}

fn low_bits(record_hash: u64) -> u32 {
    u32::try_from(record_hash & u64::from(u32::MAX)).unwrap_or_default()
}
