//! The other hosts: who is alive, who is gone since when, who keeps copies.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use kernel::{DataCentre, Incarnation};

use crate::{Peer, State};

/// How long the moment of a disappearance is remembered.
const REMEMBERED: Duration = Duration::from_hours(1);

/// What is known of the other hosts.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    live: BTreeMap<Incarnation, Peer>,
    gone: HashMap<Incarnation, Duration>,
    avoided: HashMap<Incarnation, Duration>,
}

impl Peers {
    /// Replaces what is known by `peers`.
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
            .retain(|it, since| !live.contains_key(it) && now < *since + REMEMBERED);
        self.live = live;
    }

    pub(crate) fn is_live(&self, incarnation: Incarnation) -> bool {
        self.live.contains_key(&incarnation)
    }

    /// Whether `incarnation` is alive and stays.
    pub(crate) fn stays(&self, incarnation: Incarnation) -> bool {
        self.live
            .get(&incarnation)
            .is_some_and(|peer| peer.state == State::Live)
    }

    pub(crate) fn data_centre(&self, incarnation: Incarnation) -> Option<&DataCentre> {
        self.live.get(&incarnation).map(|peer| &peer.data_centre)
    }

    /// All hosts, this one included.
    pub(crate) fn hosts(&self) -> usize {
        self.live.len() + 1
    }

    /// How many hosts could keep a copy.
    pub(crate) fn staying(&self) -> usize {
        self.live
            .values()
            .filter(|peer| peer.state == State::Live)
            .count()
    }

    /// When `incarnation` disappeared; now, if it was never seen.
    ///
    /// A host that has just started knows nobody. It counts from its own
    /// first look, so that it fences nobody before it has heard from the fleet.
    pub(crate) fn gone_since(&mut self, now: Duration, incarnation: Incarnation) -> Duration {
        *self.gone.entry(incarnation).or_insert(now)
    }

    /// A message came from `incarnation`: it is alive, whatever the fleet says so far.
    pub(crate) fn heard(&mut self, now: Duration, incarnation: Incarnation) {
        if let Some(since) = self.gone.get_mut(&incarnation) {
            *since = now;
        }
    }

    /// Chooses no more copies for `incarnation` until `until`.
    pub(crate) fn avoid(&mut self, incarnation: Incarnation, until: Duration) {
        self.avoided.insert(incarnation, until);
    }

    /// The host that keeps the copies of `me`: in another data centre and near
    /// before far, in the same one only when there is no other. Within a rank
    /// the choice is by rendezvous hashing, so that hosts spread over their
    /// partners and a partner's loss moves only those who had chosen it.
    pub(crate) fn partner(
        &self,
        now: Duration,
        me: Incarnation,
        data_centre: &DataCentre,
        except: &[Incarnation],
    ) -> Option<Incarnation> {
        self.live
            .values()
            .filter(|peer| peer.state == State::Live && peer.incarnation != me)
            .filter(|peer| !except.contains(&peer.incarnation))
            .filter(|peer| {
                self.avoided
                    .get(&peer.incarnation)
                    .is_none_or(|until| *until <= now)
            })
            .min_by_key(|peer| {
                let same = peer.data_centre == *data_centre;
                (same, peer.reach, Reverse(score(me, peer.incarnation)))
            })
            .map(|peer| peer.incarnation)
    }
}

/// The weight of `peer` for `me`: the finaliser of `splitmix64` over both.
fn score(me: Incarnation, peer: Incarnation) -> u64 {
    let mut hash = me.0.rotate_left(32) ^ peer.0.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
