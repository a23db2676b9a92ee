//! Merges the statuses of several hosts.

use gate::operator::{Host, Status};

/// The entry hosts by name, merged from the statuses of several hosts.
#[derive(Clone, Debug, Default)]
pub(crate) struct Roster {
    /// The hosts, each once, sorted by name.
    pub(crate) hosts: Vec<Host>,
}

impl Roster {
    /// Merges the statuses of several hosts.
    ///
    /// A host's own status takes precedence over what its peers report of it.
    /// Of several reports of a peer, the one with the highest revision counts,
    /// since the revision in force on a host never decreases; of those with equal
    /// revisions, the first.
    pub(crate) fn merge(statuses: &[Status]) -> Self {
        let mut roster = Self::default();
        for status in statuses {
            roster.insert_or_update(&status.host);
        }
        for peer in statuses.iter().flat_map(|status| &status.peers) {
            if statuses.iter().all(|status| status.host.name != peer.name) {
                roster.insert_or_update(peer);
            }
        }
        roster
            .hosts
            .sort_by(|left, right| left.name.cmp(&right.name));
        roster
    }

    fn insert_or_update(&mut self, host: &Host) {
        let known = self.hosts.iter_mut().find(|known| known.name == host.name);
        match known {
            Some(known) if known.revision < host.revision => *known = host.clone(),
            Some(_) => {}
            None => self.hosts.push(host.clone()),
        }
    }
}
