//! Host membership and failure detection by gossip.
//!
//! Does no input or output and takes the time from its caller, so that a test can simulate
//! hundreds of hosts. `crate::messaging` sends and receives the messages. See
//! `docs/design/gossip.md`.

mod compare;
mod failure_detector;
mod graph;
mod record;
mod relays;
mod roster;

use std::collections::HashMap;
use std::time::Duration;

use kernel::{HostName, Incarnation};
use serde::{Deserialize, Serialize};

use crate::Member;

pub use compare::{Comparison, Digest};
use failure_detector::{FailureDetector, ProbeResult};
pub use graph::{DEGREE, Graph, ROOT_COUNT};
pub use record::{Record, State};
pub use roster::{MAX_LISTED, Roster};

/// The approximate interval between routine updates to the neighbours.
pub const GOSSIP_INTERVAL: Duration = Duration::from_millis(500);
/// The delay before a change is sent to the neighbours, in which further changes are added
/// to the same update. When many hosts start or fail together, their changes travel in a
/// few messages.
pub const BATCH_DELAY: Duration = Duration::from_millis(20);
/// The least time between two updates from a host. Limits the traffic of state that changes
/// continuously. Five hops at this interval take half a second.
pub const MIN_GOSSIP_INTERVAL: Duration = Duration::from_millis(100);
/// The interval between attempts to reconnect to a silent host.
pub const RECONNECT_INTERVAL: Duration = Duration::from_secs(1);
/// The time for which another host's fingerprint may differ before the two views are compared.
/// Fingerprints differ briefly while an update is propagating.
const MISMATCH_TOLERANCE: Duration = Duration::from_millis(1_200);
/// The least time between two comparisons that this host starts because of differing
/// fingerprints.
const MIN_COMPARISON_INTERVAL: Duration = Duration::from_secs(1);

/// The membership records that a host sends to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembershipUpdate {
    /// The records that changed since the previous update; in a full update, those of all live
    /// hosts.
    pub records: Vec<Record>,
    /// [`Roster::fingerprint`] of the sender, by which the receiver detects differing views.
    pub fingerprint: u64,
}

/// The actions that an update requires of its receiver.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpdateOutcome {
    /// The update changed the roster; send the change to the neighbours.
    pub has_changes: bool,
    /// The sender's view has differed for too long; compare the two.
    pub needs_comparison: bool,
}

/// The membership state of this host and the neighbours it exchanges updates with.
#[derive(Debug)]
pub struct Gossip {
    roster: Roster,
    graph: Graph,
    failure_detector: FailureDetector,
    /// Previous successors, each with the time until which it still receives updates.
    former_successors: Vec<(HostName, Duration)>,
    /// Hosts whose records changed since the previous update.
    unsent: Vec<HostName>,
    /// Successors that are live again after they were silent, since the last
    /// [`Self::take_returned`].
    returned: Vec<HostName>,
    /// The hosts whose fingerprints differ from this one's, each with the time at which that
    /// was first seen.
    mismatched_since: HashMap<HostName, Duration>,
    last_comparison: Option<Duration>,
}

impl Gossip {
    /// Creates the state of a host that starts at `now` and knows no other host.
    #[must_use]
    pub fn new(own: Member, incarnation: Incarnation, now: Duration) -> Self {
        let roster = Roster::new(own, incarnation, now);
        let mut gossip = Self {
            unsent: vec![roster.own().member.name.clone()],
            returned: Vec::new(),
            graph: Graph::default(),
            former_successors: Vec::new(),
            failure_detector: FailureDetector::default(),
            mismatched_since: HashMap::new(),
            last_comparison: None,
            roster,
        };
        gossip.update_graph(now);
        gossip
    }

    /// Returns the known hosts.
    #[must_use]
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Returns the graph along which updates travel.
    #[must_use]
    pub fn graph(&self) -> &Graph {
        &self.graph
    }

    /// Adds the hosts that the store lists.
    pub fn add_listed(&mut self, now: Duration, members: Vec<Member>) {
        for it in members {
            self.roster.add_listed(now, it);
        }
        self.update_graph(now);
    }

    /// Sets this host's own state. Returns whether it changed.
    pub fn set_state(&mut self, now: Duration, state: State) -> bool {
        let changed = self.roster.set_own_state(now, state);
        if changed {
            self.queue_record(self.roster.own().member.name.clone());
        }
        changed
    }

    /// Returns the update to send now. A change is sent once: a neighbour that misses it
    /// receives it from other hosts or through a comparison.
    pub fn next_update(&mut self, now: Duration) -> MembershipUpdate {
        self.update_graph(now);
        self.former_successors.retain(|it| now < it.1);
        let unsent = std::mem::take(&mut self.unsent);
        MembershipUpdate {
            records: unsent
                .iter()
                .filter_map(|it| self.roster.get(it))
                .cloned()
                .collect(),
            fingerprint: self.roster.fingerprint(),
        }
    }

    /// Returns an update with all live hosts, for a host that has just started.
    #[must_use]
    pub fn full_update(&self) -> MembershipUpdate {
        MembershipUpdate {
            records: self.roster.live().cloned().collect(),
            fingerprint: self.roster.fingerprint(),
        }
    }

    /// Returns the hosts that this host sends updates to.
    #[must_use]
    pub fn recipients(&self) -> Vec<Member> {
        let former_successors = self.former_successors.iter().map(|it| &it.0);
        self.graph
            .successors()
            .chain(former_successors)
            .filter_map(|it| self.roster.get(it))
            .map(|it| it.member.clone())
            .collect()
    }

    /// Applies an update from another host.
    pub fn receive(
        &mut self,
        now: Duration,
        from: &HostName,
        update: &MembershipUpdate,
    ) -> UpdateOutcome {
        self.failure_detector.record_message(now, from);
        let has_changes = self.merge(now, &update.records);
        let needs_comparison = self.needs_comparison(now, from, update.fingerprint);
        UpdateOutcome {
            has_changes,
            needs_comparison,
        }
    }

    /// Returns the successors to compare views with, because they are live again after they were
    /// silent. While a host counts as silent, changes aren't sent to it, and its own refutation may
    /// arrive after those of others: without a comparison it would learn of these late.
    pub fn take_returned(&mut self, now: Duration) -> Vec<Member> {
        self.update_graph(now);
        let returned = std::mem::take(&mut self.returned);
        let find = |it: &HostName| self.roster.get(it).map(|it| it.member.clone());
        returned.iter().filter_map(find).collect()
    }

    /// Returns a compact digest of the roster for a comparison.
    #[must_use]
    pub fn digest(&self) -> Digest {
        Digest::of(&self.roster)
    }

    /// Compares another host's digest with this host's roster.
    #[must_use]
    pub fn compare(&self, digest: &Digest) -> Comparison {
        digest.compare(&self.roster)
    }

    /// Applies the response to a comparison. Returns the records that the other host asked
    /// for, and whether anything changed here.
    pub fn apply_comparison(
        &mut self,
        now: Duration,
        comparison: &Comparison,
    ) -> (Vec<Record>, bool) {
        let has_changes = self.merge(now, &comparison.records);
        let wanted = self.roster.records_by_name_hash(&comparison.wanted);
        (wanted, has_changes)
    }

    /// Merges records into the roster. Returns whether any of them changed it.
    pub fn merge(&mut self, now: Duration, records: &[Record]) -> bool {
        let mut has_changes = false;
        for it in records {
            if let Some(name) = self.roster.merge(now, it) {
                self.queue_record(name);
                has_changes = true;
            }
        }
        has_changes
    }

    /// Returns the hosts that have been silent for too long and should be probed.
    pub fn suspects(&mut self, now: Duration) -> Vec<Member> {
        self.update_graph(now);
        let suspects = self.failure_detector.suspects(now);
        let find = |it: &HostName| self.roster.get(it).map(|it| it.member.clone());
        suspects.iter().filter_map(find).collect()
    }

    /// Records that a host answered a probe or is known to be alive for another reason.
    pub fn mark_alive(&mut self, now: Duration, host: &HostName) {
        self.failure_detector.mark_alive(now, host);
    }

    /// Records that a host did not answer a probe. Returns whether it is now marked silent.
    ///
    /// A host that receives nothing from any predecessor may be cut off, and marks none of them
    /// silent. Otherwise it would claim that all others are silent once it reconnects. If it
    /// reaches the store, it does mark them: it may be the only host left.
    pub fn probe_failed(&mut self, now: Duration, host: &HostName, contact: Contact) -> bool {
        match (self.failure_detector.probe_failed(now, host), contact) {
            (ProbeResult::Silent, _) | (ProbeResult::AllSilent, Contact::Store) => {}
            (ProbeResult::Alive, _) | (ProbeResult::AllSilent, Contact::Lost) => return false,
        }
        self.failure_detector.suspend(now, host);
        let Some(name) = self.roster.mark_silent(now, host) else {
            return false;
        };
        self.queue_record(name);
        true
    }

    /// Returns a silent host to reconnect to, chosen by a random number from 0 to 1. The
    /// probability falls with the number of hosts, so that the total rate of attempts stays
    /// constant.
    #[must_use]
    pub fn reconnect_candidate(&self, random: f64) -> Option<Member> {
        self.roster.reconnect_candidate(random)
    }

    fn queue_record(&mut self, name: HostName) {
        if !self.unsent.contains(&name) {
            self.unsent.push(name);
        }
    }

    fn update_graph(&mut self, now: Duration) {
        if self.graph.is_current(&self.roster) {
            return;
        }
        let before: Vec<HostName> = self.graph.successors().cloned().collect();
        self.graph = Graph::new(&self.roster);
        // New successors need this host's own record first: no other host may have it yet.
        if self.graph.successors().any(|it| !before.contains(it)) {
            self.queue_record(self.roster.own().member.name.clone());
        }
        let is_new = |it: &&HostName| !before.contains(it) && self.roster.has_returned(now, it);
        self.returned
            .extend(self.graph.successors().filter(is_new).cloned());
        self.keep_former_successors(now, before);
        self.failure_detector
            .monitor(now, self.graph.predecessors());
    }

    /// Keeps sending updates to former successors for a while.
    ///
    /// A host that was wrongly marked silent is removed from the graph that each host computes.
    /// Without these updates it would learn of the claim, and refute it, only later through a
    /// comparison.
    fn keep_former_successors(&mut self, now: Duration, before: Vec<HostName>) {
        const GRACE_PERIOD: Duration = Duration::from_secs(1);
        let known = std::mem::take(&mut self.former_successors);
        let fresh = before.into_iter().map(|it| (it, now + GRACE_PERIOD));
        for (host, until) in fresh.chain(known) {
            let is_kept = self.former_successors.iter().any(|it| it.0 == host);
            let is_successor = self.graph.successors().any(|it| *it == host);
            if now < until && !is_kept && !is_successor && self.former_successors.len() < DEGREE {
                self.former_successors.push((host, until));
            }
        }
    }

    fn needs_comparison(&mut self, now: Duration, from: &HostName, fingerprint: u64) -> bool {
        if fingerprint == self.roster.fingerprint() {
            self.mismatched_since.remove(from);
            return false;
        }
        let since = *self.mismatched_since.entry(from.clone()).or_insert(now);
        let is_due = self
            .last_comparison
            .is_none_or(|at| now >= at + MIN_COMPARISON_INTERVAL);
        let is_needed = is_due && now >= since + MISMATCH_TOLERANCE;
        if is_needed {
            self.last_comparison = Some(now);
            self.mismatched_since.clear();
        }
        is_needed
    }
}

/// The contact of this host with the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Contact {
    /// A call to the store succeeded recently.
    Store,
    /// No call to the store succeeded recently.
    Lost,
}
