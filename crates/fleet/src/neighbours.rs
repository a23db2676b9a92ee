//! The few members with which this host speaks regularly.

use wire::Member;

use crate::members::{MemberKey, Members};
use crate::rendezvous::weight;

/// This host's neighbours on several hash rings.
///
/// The first ring holds the hosts of the data centre, the others all hosts,
/// each in another order. Every host probes its successors, so each is probed
/// by as many as there are rings. Together the rings are a random graph of
/// constant degree: news reach all in about log n hops, and the cost of a host
/// doesn't grow with the fleet.
#[derive(Default)]
pub(crate) struct Neighbours {
    epoch: Option<u64>,
    successors: Vec<MemberKey>,
    all: Vec<MemberKey>,
}

impl Neighbours {
    /// Chooses anew when the members have changed.
    pub(crate) fn refresh(&mut self, me: &Member, members: &Members, rings: usize) {
        if self.epoch == Some(members.epoch()) {
            return;
        }
        self.epoch = Some(members.epoch());
        self.successors.clear();
        self.all.clear();
        for ring in 0..rings {
            let (successor, predecessor) = closest(me, members, ring);
            add(&mut self.successors, successor);
            add(&mut self.all, successor);
            add(&mut self.all, predecessor);
        }
    }

    /// Those whom this host probes.
    pub(crate) fn successors(&self) -> &[MemberKey] {
        &self.successors
    }

    /// Those to whom it pushes news.
    pub(crate) fn all(&self) -> &[MemberKey] {
        &self.all
    }
}

/// The next host in either direction on one ring.
fn closest(me: &Member, members: &Members, ring: usize) -> (Option<MemberKey>, Option<MemberKey>) {
    let position = |it: &Member| weight("ring", ring, it.identity.host.as_str());
    let mine = position(me);
    let mut successor = None;
    let mut predecessor = None;
    for (key, entry) in members.reachable() {
        let is_local = entry.member.data_centre == me.data_centre;
        if ring == 0 && !is_local {
            continue;
        }
        let position = position(&entry.member);
        let ahead = position.wrapping_sub(mine);
        let behind = mine.wrapping_sub(position);
        successor = successor.min(Some((ahead, key))).or(Some((ahead, key)));
        predecessor = predecessor.min(Some((behind, key))).or(Some((behind, key)));
    }
    (successor.map(|it| it.1), predecessor.map(|it| it.1))
}

fn add(keys: &mut Vec<MemberKey>, key: Option<MemberKey>) {
    let Some(key) = key else { return };
    if !keys.contains(&key) {
        keys.push(key);
    }
}
