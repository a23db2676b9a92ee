//! The queue of updates to spread to other hosts.

use std::time::Duration;

use kernel::HostName;
use wire::GossipUpdate;

/// Updates that this host still has to send.
///
/// Each update is pushed once to all neighbours except the one that sent it, and
/// piggybacked on a limited number of probes and acks, so that a lost frame doesn't
/// stop it.
#[derive(Default)]
pub(crate) struct Gossip {
    items: Vec<Item>,
    last_push: Duration,
}

struct Item {
    update: GossipUpdate,
    /// The host that sent the update, to which it isn't pushed.
    source: Option<HostName>,
    is_pushed: bool,
    /// The number of further probes or acks that carry it.
    remaining_piggybacks: u32,
}

impl Gossip {
    /// Adds an update, replacing an older one on the same subject.
    pub(crate) fn add(&mut self, update: GossipUpdate, from: Option<&HostName>, piggybacks: u32) {
        self.items
            .retain(|it| !has_same_subject(&it.update, &update));
        self.items.push(Item {
            update,
            source: from.cloned(),
            is_pushed: false,
            remaining_piggybacks: piggybacks,
        });
    }

    /// Removes the update on a member.
    pub(crate) fn remove_member(&mut self, host: &HostName) {
        self.items.retain(|it| match &it.update {
            GossipUpdate::Member(member) => member.identity.host != *host,
            _ => true,
        });
    }

    /// Returns the time of the next push, or `None` if all updates were pushed.
    pub(crate) fn deadline(&self, tuning: &crate::Tuning) -> Option<Duration> {
        let unpushed = self.items.iter().filter(|it| !it.is_pushed);
        let bytes: usize = unpushed.map(|it| estimated_bytes(&it.update)).sum();
        let pause = match bytes {
            0 => return None,
            it if it <= tuning.news_bytes => tuning.push_every,
            _ => tuning.push_every_when_full,
        };
        Some(self.last_push + pause)
    }

    /// Takes the updates for one push. Those that aren't membership records go
    /// first, so that a verdict or revision doesn't wait behind the many refutations
    /// after a network partition heals.
    pub(crate) fn take_push(&mut self, now: Duration, max_bytes: usize) -> Push {
        self.last_push = now;
        let mut unpushed: Vec<_> = self.items.iter_mut().filter(|it| !it.is_pushed).collect();
        unpushed.sort_by_key(|it| matches!(it.update, GossipUpdate::Member(_)));
        let mut push = Push::default();
        let mut bytes = 0;
        for item in unpushed {
            bytes += estimated_bytes(&item.update);
            if bytes > max_bytes && !push.updates.is_empty() {
                break;
            }
            item.is_pushed = true;
            push.updates.push(item.update.clone());
            push.sources.push(item.source.clone());
        }
        push
    }

    /// Takes the updates for one probe or ack, starting with those that were
    /// carried least often.
    pub(crate) fn take_carried(&mut self, max_bytes: usize) -> Vec<GossipUpdate> {
        self.items
            .sort_by_key(|it| std::cmp::Reverse(it.remaining_piggybacks));
        let mut carried = Vec::new();
        let mut bytes = 0;
        for item in &mut self.items {
            bytes += estimated_bytes(&item.update);
            if item.remaining_piggybacks == 0 || bytes > max_bytes {
                break;
            }
            item.remaining_piggybacks -= 1;
            carried.push(item.update.clone());
        }
        self.items
            .retain(|it| it.remaining_piggybacks > 0 || !it.is_pushed);
        carried
    }
}

/// Updates to push, and for each the host that sent it, if any.
#[derive(Default)]
pub(crate) struct Push {
    pub(crate) updates: Vec<GossipUpdate>,
    sources: Vec<Option<HostName>>,
}

impl Push {
    /// Returns the updates that `host` didn't send itself.
    pub(crate) fn updates_for(&self, host: &HostName) -> Vec<GossipUpdate> {
        let pieces = self.updates.iter().zip(&self.sources);
        pieces
            .filter(|(_, source)| source.as_ref() != Some(host))
            .map(|(update, _)| update.clone())
            .collect()
    }
}

fn has_same_subject(a: &GossipUpdate, b: &GossipUpdate) -> bool {
    match (a, b) {
        (GossipUpdate::Member(a), GossipUpdate::Member(b)) => a.identity.host == b.identity.host,
        (GossipUpdate::Revision(_), GossipUpdate::Revision(_)) => true,
        (GossipUpdate::Verdict(a), GossipUpdate::Verdict(b)) => a.version == b.version,
        (GossipUpdate::Endpoint(a), GossipUpdate::Endpoint(b)) => a.host == b.host,
        _ => false,
    }
}

/// Estimates the encoded size of an update in bytes.
fn estimated_bytes(update: &GossipUpdate) -> usize {
    const FIXED: usize = 24;
    let text = match update {
        GossipUpdate::Member(it) => {
            it.identity.host.as_str().len()
                + it.data_centre.as_str().len()
                + it.region.as_str().len()
                + FIXED
        }
        GossipUpdate::Revision(it) => it.holder.host.as_str().len(),
        GossipUpdate::Verdict(it) => {
            it.version.as_str().len() + it.by.host.as_str().len() + it.evidence.len()
        }
        GossipUpdate::Endpoint(it) => it.host.as_str().len(),
    };
    text + FIXED
}
