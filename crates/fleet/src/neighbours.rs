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
            let ring = Ring::new(me, members, ring);
            add(&mut self.successors, ring.ahead.iter());
            add(&mut self.all, ring.ahead.iter());
            add(&mut self.all, ring.ahead.iter().rev());
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

/// The other hosts of one ring, in the order in which they follow this one.
struct Ring {
    ahead: Vec<MemberKey>,
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
        let ahead = others.into_iter().map(|it| it.1).collect();
        Self { ahead }
    }
}

/// Adds the first that isn't chosen yet. In a small fleet the rings would
/// otherwise name the same host several times, and a host whose only neighbour
/// died would hear nobody.
fn add<'a>(chosen: &mut Vec<MemberKey>, ring: impl Iterator<Item = &'a MemberKey>) {
    let mut free = ring.filter(|it| !chosen.contains(it));
    if let Some(key) = free.next().copied() {
        chosen.push(key);
    }
}
