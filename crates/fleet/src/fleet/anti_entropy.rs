//! Anti-entropy: hosts compare their views, which repairs lost gossip updates
//! and lets hosts discover each other.

use std::net::SocketAddr;
use std::time::Duration;

use kernel::HostName;
use wire::{AnnouncedRevision, Bucket, Digest, GossipMessage, GossipUpdate, Member, State};

use crate::cx::Cx;
use crate::view::bucket_of;
use crate::{Action, Fleet};

/// The configured reconnect interval is multiplied by the fleet's size divided by
/// this, rounded up.
const HOSTS_PER_RECONNECT_INTERVAL: usize = 16;

/// Number of hosts contacted at once while no other member is reachable.
const JOIN_FANOUT: usize = 3;

impl Fleet {
    /// Stores the platform's host list. It may be out of date, so it only provides
    /// hosts to contact.
    pub(super) fn handle_hosts(&mut self, cx: &mut Cx, hosts: Vec<Member>) {
        let others = hosts
            .into_iter()
            .filter(|it| it.identity.host != self.me.identity.host);
        self.listed_hosts = others.map(|it| (it.identity.host.clone(), it)).collect();
        if self.members.reachable().next().is_none() {
            self.timers.reconnect = cx.now;
            self.reconnect_when_due(cx);
        }
    }

    /// Contacts a random host that is unreachable, or whose listed incarnation is
    /// unknown. Only one at a time unless this host is joining, because all members
    /// do the same.
    pub(super) fn reconnect_when_due(&mut self, cx: &mut Cx) {
        if cx.now < self.timers.reconnect {
            return;
        }
        let is_joining = self.members.reachable().next().is_none();
        let (delay, max) = if is_joining {
            (self.tuning.join_every, JOIN_FANOUT)
        } else {
            (self.reconnect_delay(), 1)
        };
        self.timers.reconnect = cx.now + delay;
        let unreachable = self
            .members
            .iter()
            .map(|it| &it.member)
            .filter(|it| it.state == State::Unreachable);
        let unknown = self.listed_hosts.values().filter(|it| self.is_unknown(it));
        let candidates: Vec<_> = unreachable
            .chain(unknown)
            .map(|it| (it.identity.host.clone(), it.fleet_address))
            .collect();
        for (host, address) in self.sample(candidates, max) {
            self.send_digest(cx, &host, address);
        }
    }

    /// Returns the delay between reconnect attempts. It grows with the fleet,
    /// because all members try the same unreachable hosts: the total rate of
    /// attempts stays about constant.
    fn reconnect_delay(&self) -> Duration {
        let factor = self.size().div_ceil(HOSTS_PER_RECONNECT_INTERVAL);
        self.tuning.reconnect_every * u32::try_from(factor).unwrap_or(u32::MAX)
    }

    /// Periodically compares views with a random member, even if no neighbour
    /// reports a difference.
    pub(super) fn compare_when_due(&mut self, cx: &mut Cx) {
        if cx.now < self.timers.compare {
            return;
        }
        let is_first = self.timers.compare.is_zero();
        self.timers.compare = cx.now + self.tuning.compare_every;
        if is_first {
            self.timers.compare = cx.now + self.jitter(self.tuning.compare_every);
            return;
        }
        let members = self.members.reachable();
        let members = members.map(|(_, it)| it.member.clone()).collect();
        for member in self.sample(members, 1) {
            self.send_digest(cx, &member.identity.host, member.fleet_address);
        }
    }

    /// Sends a digest of this host's view to another host, which responds with
    /// the differences.
    pub(super) fn send_digest(&mut self, cx: &mut Cx, host: &HostName, address: SocketAddr) {
        let digest = Digest {
            from: self.me.identity.clone(),
            buckets: self.view.listing(),
            gossip_message: self.gossip_message(cx, vec![GossipUpdate::Member(self.me.clone())]),
            wants_response: true,
        };
        cx.push(Action::Send {
            host: host.clone(),
            address,
            frame: digest.into(),
        });
    }

    /// Compares a host's view fingerprint with this host's. Gossip updates in
    /// flight make views differ briefly, so only a lasting difference leads to a
    /// full comparison.
    pub(super) fn check_fingerprint(&mut self, cx: &mut Cx, host: &HostName, theirs: u64) {
        if theirs == self.view.fingerprint() {
            self.timers.differing_since.remove(host);
            return;
        }
        let since = self
            .timers
            .differing_since
            .entry(host.clone())
            .or_insert(cx.now);
        if cx.now.saturating_sub(*since) < self.tuning.compare_after_differing {
            return;
        }
        *since = cx.now;
        let Some(entry) = self.members.find(host) else {
            return;
        };
        let address = entry.member.fleet_address;
        self.send_digest(cx, host, address);
    }

    pub(super) fn handle_digest(&mut self, cx: &mut Cx, from: &HostName, digest: Digest) {
        if digest.from.host != *from {
            return;
        }
        let is_joining = self.members.reachable().next().is_none();
        let differing = if digest.wants_response {
            self.view.differing(&digest.buckets)
        } else {
            self.still_differing(&digest.buckets)
        };
        let theirs = digest.gossip_message.updates.clone();
        self.apply_gossip_message(cx, digest.gossip_message, from);
        if is_joining && !digest.wants_response {
            self.queue_only_own_record();
        }
        let Some(entry) = self.members.find(from) else {
            return;
        };
        let to = entry.member.clone();
        let mut updates = self.updates_in(&differing);
        updates.retain(|it| !theirs.contains(it));
        if digest.wants_response {
            updates.extend(self.revision_update());
            let response = Digest {
                from: self.me.identity.clone(),
                buckets: differing,
                gossip_message: self.gossip_message(cx, updates),
                wants_response: false,
            };
            cx.send(&to, response);
        } else if !updates.is_empty() {
            let gossip_message = self.gossip_message(cx, updates);
            cx.send(&to, gossip_message);
        }
    }

    fn gossip_message(&self, cx: &Cx, updates: Vec<GossipUpdate>) -> GossipMessage {
        GossipMessage {
            reach: self.reported_reach(cx.now),
            updates,
        }
    }

    /// Replaces the queued gossip updates with this host's own record. The other
    /// members already know what a joining host learns from its first response.
    fn queue_only_own_record(&mut self) {
        self.gossip = crate::gossip::Gossip::default();
        let update = GossipUpdate::Member(self.me.clone());
        self.gossip
            .add(update, None, self.tuning.piggybacks_per_update);
    }

    /// Returns the buckets in the other host's response that differ from this
    /// host's.
    fn still_differing(&self, theirs: &[Bucket]) -> Vec<Bucket> {
        let mut differing = self.view.differing(theirs);
        differing.retain(|it| theirs.iter().any(|other| other.index == it.index));
        differing
    }

    fn updates_in(&self, buckets: &[Bucket]) -> Vec<GossipUpdate> {
        let wanted = |index: u8| buckets.iter().any(|it| it.index == index);
        let members = self
            .members
            .iter()
            .map(|it| &it.member)
            .chain([&self.me])
            .filter(|it| it.state != State::Dead && wanted(bucket_of(it.identity.host.as_str())))
            .map(|it| GossipUpdate::Member(it.clone()));
        members.chain(self.announcements.records(wanted)).collect()
    }

    fn revision_update(&self) -> Option<GossipUpdate> {
        self.configuration.json()?;
        Some(GossipUpdate::Revision(AnnouncedRevision {
            revision: self.configuration.revision(),
            holder: self.me.identity.clone(),
        }))
    }

    fn is_unknown(&self, listed: &Member) -> bool {
        let known = self.members.find(&listed.identity.host);
        known.is_none_or(|it| it.member.identity.incarnation < listed.identity.incarnation)
    }
}
