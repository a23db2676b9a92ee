//! Tracks the probes in flight.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use kernel::HostName;
use wire::Identity;

use crate::members::MemberKey;

/// The probes in flight: this host's own and those sent on behalf of others.
#[derive(Default)]
pub(crate) struct Prober {
    sequence: u32,
    target_index: usize,
    pending: BTreeMap<u32, PendingProbe>,
    relayed: BTreeMap<u32, RelayedProbe>,
    /// The time at which this host's own probe was last acknowledged, or at which
    /// the process started or resumed after a freeze.
    pub(crate) last_response: Duration,
}

/// A probe that this host started itself.
#[derive(Clone, Debug)]
pub(crate) struct PendingProbe {
    pub(crate) target: Identity,
    pub(crate) sent: Duration,
    pub(crate) is_indirect_requested: bool,
}

/// An indirect probe, sent at another host's request.
#[derive(Clone, Debug)]
pub(crate) struct RelayedProbe {
    pub(crate) host: HostName,
    pub(crate) address: SocketAddr,
    /// The requesting host's sequence number.
    pub(crate) sequence: u32,
    pub(crate) target: Identity,
    sent: Duration,
}

impl RelayedProbe {
    pub(crate) fn new(
        now: Duration,
        requester: (HostName, SocketAddr),
        sequence: u32,
        target: Identity,
    ) -> Self {
        let (host, address) = requester;
        Self {
            host,
            address,
            sequence,
            target,
            sent: now,
        }
    }
}

impl Prober {
    /// Returns a new sequence number for a probe or a configuration fetch.
    pub(crate) fn next_sequence(&mut self) -> u32 {
        self.sequence = self.sequence.wrapping_add(1);
        self.sequence
    }

    /// Returns the next of `targets` in round-robin order.
    pub(crate) fn next_target(&mut self, targets: &[MemberKey]) -> Option<MemberKey> {
        self.target_index = self.target_index.wrapping_add(1);
        targets
            .get(self.target_index.checked_rem(targets.len())?)
            .copied()
    }

    pub(crate) fn begin(&mut self, sequence: u32, target: Identity, now: Duration) {
        let sent = now;
        let is_indirect_requested = false;
        let pending_probe = PendingProbe {
            target,
            sent,
            is_indirect_requested,
        };
        self.pending.insert(sequence, pending_probe);
    }

    /// Completes a probe that any incarnation of the probed host acknowledged.
    pub(crate) fn complete(&mut self, sequence: u32, from: &Identity) -> Option<PendingProbe> {
        if self.pending.get(&sequence)?.target.host != from.host {
            return None;
        }
        self.pending.remove(&sequence)
    }

    pub(crate) fn begin_relayed(&mut self, sequence: u32, relayed_probe: RelayedProbe) {
        self.relayed.insert(sequence, relayed_probe);
    }

    pub(crate) fn complete_relayed(
        &mut self,
        sequence: u32,
        from: &Identity,
    ) -> Option<RelayedProbe> {
        if self.relayed.get(&sequence)?.target != *from {
            return None;
        }
        self.relayed.remove(&sequence)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (u32, &PendingProbe)> {
        self.pending.iter().map(|(sequence, it)| (*sequence, it))
    }

    /// Marks that indirect probes of the target were requested.
    pub(crate) fn mark_indirect_requested(&mut self, sequence: u32) {
        if let Some(it) = self.pending.get_mut(&sequence) {
            it.is_indirect_requested = true;
        }
    }

    pub(crate) fn cancel(&mut self, sequence: u32) {
        self.pending.remove(&sequence);
    }

    /// Returns whether a probe of the host is in flight.
    pub(crate) fn is_probing(&self, host: &HostName) -> bool {
        self.pending.values().any(|it| it.target.host == *host)
    }

    /// Drops indirect probes that were sent before the given time.
    pub(crate) fn forget(&mut self, before: Duration) {
        self.relayed.retain(|_, it| it.sent >= before);
    }

    /// Drops all of this host's own probes and counts silence from `now`.
    pub(crate) fn reset(&mut self, now: Duration) {
        self.pending.clear();
        self.last_response = now;
    }
}
