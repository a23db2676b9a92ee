//! The members that this host probes and sends updates to.

use wire::Member;

use crate::members::{MemberKey, Members};
use crate::rendezvous::weight;

/// This host's neighbours on several hash rings.
///
/// The first ring contains the hosts of this data centre, the others all hosts,
/// each in a different order. Each host probes its successor on every ring.
/// Together the rings approximate a random graph of constant degree: updates reach
/// all hosts in about log n hops, and the cost per host doesn't grow with the
/// fleet.
#[derive(Default)]
pub(crate) struct Neighbours {
    epoch: Option<u64>,
    successors: Vec<MemberKey>,
    all: Vec<MemberKey>,
}

impl Neighbours {
    /// Recomputes the neighbours if the members have changed.
    pub(crate) fn refresh(&mut self, me: &Member, members: &Members, rings: usize) {
        if self.epoch == Some(members.epoch()) {
            return;
        }
        self.epoch = Some(members.epoch());
        self.successors.clear();
        self.all.clear();
        for ring in 0..rings {
            let ring = Ring::new(me, members, ring);
            add_first_new(&mut self.successors, ring.ordered.iter());
            add_first_new(&mut self.all, ring.ordered.iter());
            add_first_new(&mut self.all, ring.ordered.iter().rev());
        }
    }

    /// Returns the members that this host probes.
    pub(crate) fn successors(&self) -> &[MemberKey] {
        &self.successors
    }

    /// Returns all neighbours, to which this host pushes updates. Some of them are asked
    /// for indirect probes.
    pub(crate) fn all(&self) -> &[MemberKey] {
        &self.all
    }
}

/// The other reachable hosts of one ring, ordered by distance after this host.
struct Ring {
    ordered: Vec<MemberKey>,
}

impl Ring {
    fn new(me: &Member, members: &Members, ring: usize) -> Self {
        let position = |it: &Member| weight("ring", ring, it.identity.host.as_str());
        let mine = position(me);
        let is_local = |it: &Member| it.data_centre == me.data_centre;
        let mut others: Vec<_> = members
            .reachable()
            .filter(|(_, it)| ring > 0 || is_local(&it.member))
            .map(|(key, it)| (position(&it.member).wrapping_sub(mine), key))
            .collect();
        others.sort_unstable();
        let ordered = others.into_iter().map(|it| it.1).collect();
        Self { ordered }
    }
}

/// Adds the first member of `ring` that isn't chosen yet. In a small fleet one host
/// may be the first on several rings; taking the next one keeps the number of
/// neighbours up, so that one death doesn't cut a host off from updates.
fn add_first_new<'a>(chosen: &mut Vec<MemberKey>, ring: impl Iterator<Item = &'a MemberKey>) {
    let mut free = ring.filter(|it| !chosen.contains(it));
    if let Some(key) = free.next().copied() {
        chosen.push(key);
    }
}
