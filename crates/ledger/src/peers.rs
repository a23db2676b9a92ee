//! The other hosts: which are alive, which are gone and since when, and which receive copies.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use kernel::{DataCentre, Incarnation};

use crate::{Peer, PeerState};

/// Time for which the disappearance of a host is remembered.
const GONE_RETENTION: Duration = Duration::from_hours(1);

/// The known state of the other hosts.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    live: BTreeMap<Incarnation, Peer>,
    gone: HashMap<Incarnation, Duration>,
    avoided: HashMap<Incarnation, Duration>,
}

impl Peers {
    /// Replaces the live hosts by `peers`.
    pub(crate) fn replace(&mut self, now: Duration, peers: Vec<Peer>) {
        let live: BTreeMap<_, _> = peers
            .into_iter()
            .map(|peer| (peer.incarnation, peer))
            .collect();
        for &incarnation in self.live.keys() {
            if !live.contains_key(&incarnation) {
                self.gone.insert(incarnation, now);
            }
        }
        self.gone
            .retain(|it, since| !live.contains_key(it) && now < *since + GONE_RETENTION);
        self.live = live;
    }

    pub(crate) fn is_live(&self, incarnation: Incarnation) -> bool {
        self.live.contains_key(&incarnation)
    }

    /// Whether `incarnation` is alive and not shutting down.
    pub(crate) fn accepts_copies(&self, incarnation: Incarnation) -> bool {
        self.live
            .get(&incarnation)
            .is_some_and(|peer| peer.state == PeerState::Live)
    }

    pub(crate) fn data_centre(&self, incarnation: Incarnation) -> Option<&DataCentre> {
        self.live.get(&incarnation).map(|peer| &peer.data_centre)
    }

    /// The number of live hosts, including this one.
    pub(crate) fn host_count(&self) -> usize {
        self.live.len() + 1
    }

    /// The number of other hosts that accept copies.
    pub(crate) fn accepting_count(&self) -> usize {
        self.live
            .values()
            .filter(|peer| peer.state == PeerState::Live)
            .count()
    }

    /// Returns the start of the absence of `incarnation`. If none is recorded, records `now`.
    ///
    /// A host that has just started thus waits for the whole `fence_after`, counted from the first
    /// time it asks for this incarnation.
    pub(crate) fn gone_since(&mut self, now: Duration, incarnation: Incarnation) -> Duration {
        *self.gone.entry(incarnation).or_insert(now)
    }

    /// Restarts the count for a missing `incarnation` that sent a message: it is alive, even
    /// if the membership doesn't list it.
    pub(crate) fn record_contact(&mut self, now: Duration, incarnation: Incarnation) {
        if let Some(since) = self.gone.get_mut(&incarnation) {
            *since = now;
        }
    }

    /// Excludes `incarnation` as a partner until `until`.
    pub(crate) fn avoid(&mut self, incarnation: Incarnation, until: Duration) {
        self.avoided.insert(incarnation, until);
    }

    /// Selects the host that stores the copies of `me`. Another data centre comes before the same
    /// one, then a near host before a far one. Among equals the choice is by rendezvous hashing,
    /// which spreads the hosts over partners and moves only a lost partner's copies.
    pub(crate) fn partner(
        &self,
        now: Duration,
        me: Incarnation,
        data_centre: &DataCentre,
        except: &[Incarnation],
    ) -> Option<Incarnation> {
        self.live
            .values()
            .filter(|peer| peer.state == PeerState::Live && peer.incarnation != me)
            .filter(|peer| !except.contains(&peer.incarnation))
            .filter(|peer| {
                self.avoided
                    .get(&peer.incarnation)
                    .is_none_or(|until| *until <= now)
            })
            .min_by_key(|peer| {
                let same = peer.data_centre == *data_centre;
                (
                    same,
                    peer.reach,
                    Reverse(rendezvous_weight(me, peer.incarnation)),
                )
            })
            .map(|peer| peer.incarnation)
    }
}

/// The rendezvous weight of `peer` for `me`: the `splitmix64` finaliser of both.
fn rendezvous_weight(me: Incarnation, peer: Incarnation) -> u64 {
    let mut hash = me.0.rotate_left(32) ^ peer.0.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
