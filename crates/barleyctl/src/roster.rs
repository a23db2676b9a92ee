//! The entry hosts, from what several of them know.

use gate::operator::{Host, Status};

/// The entry hosts by name, from what several of them know.
#[derive(Clone, Debug, Default)]
pub(crate) struct Roster {
    /// Each host once.
    pub(crate) hosts: Vec<Host>,
}

impl Roster {
    /// Joins what hosts said, at least one of them.
    ///
    /// What a host says of itself counts. Of the others' words the latest
    /// revision does, since the revision in force at a host never falls.
    pub(crate) fn of(statuses: &[Status]) -> Self {
        let mut roster = Self::default();
        for status in statuses {
            roster.add(&status.host);
        }
        for peer in statuses.iter().flat_map(|status| &status.peers) {
            if statuses.iter().all(|status| status.host.name != peer.name) {
                roster.add(peer);
            }
        }
        roster
            .hosts
            .sort_by(|left, right| left.name.cmp(&right.name));
        roster
    }

    fn add(&mut self, host: &Host) {
        let known = self.hosts.iter_mut().find(|known| known.name == host.name);
        match known {
            Some(known) if known.revision < host.revision => *known = host.clone(),
            Some(_) => {}
            None => self.hosts.push(host.clone()),
        }
    }
}
