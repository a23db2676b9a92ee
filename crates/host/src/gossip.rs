//! Host membership and failure detection by gossip.
//!
//! Does no input or output and takes the time from its caller, so that a test can simulate
//! hundreds of hosts. [`crate::talk`] sends and receives the messages. See
//! `docs/design/gossip.md`.

mod compare;
mod graph;
mod record;
mod roster;
mod watch;

use std::collections::HashMap;
use std::time::Duration;

use kernel::{HostName, Incarnation};
use serde::{Deserialize, Serialize};

use crate::Member;

pub use compare::{Comparison, Digest};
pub use graph::{DEGREE, Graph, ROOTS};
pub use record::{Record, State};
pub use roster::Roster;
use watch::{Finding, Watch};

/// The interval between routine updates to the neighbours.
pub const PERIOD: Duration = Duration::from_millis(500);
/// The delay before a change is sent to the neighbours, in which further changes are added
/// to the same update. When many hosts start or fail together, their changes travel in a
/// few messages.
pub const GATHER: Duration = Duration::from_millis(20);
/// The least time between two updates from a host. Limits the traffic of state that changes
/// continuously.
pub const SPACING: Duration = Duration::from_millis(100);
/// The interval between attempts to reconnect to a silent host.
pub const RETRY: Duration = Duration::from_secs(1);
/// How long another host's fingerprint may differ before the two views are compared.
/// Fingerprints differ briefly while an update is propagating.
const PATIENCE: Duration = Duration::from_millis(1_200);
/// The least time between two comparisons that this host starts.
const COMPARE_PAUSE: Duration = Duration::from_secs(1);

/// The membership changes that a host sends to its neighbours.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pulse {
    /// The records that changed since the previous update.
    pub records: Vec<Record>,
    /// Fingerprint of the sender's roster; equal rosters have equal fingerprints.
    pub fingerprint: u64,
}

/// What the receiver of an update does next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Heard {
    /// The update changed the roster; send the change to the neighbours.
    pub is_news: bool,
    /// The sender's view has differed for too long; compare the two.
    pub differs: bool,
}

/// The membership state of this host and the neighbours it exchanges updates with.
#[derive(Debug)]
pub struct Gossip {
    roster: Roster,
    graph: Graph,
    watch: Watch,
    /// Previous successors, and until when they still receive updates.
    former: Vec<(HostName, Duration)>,
    /// Hosts whose records changed since the previous update.
    untold: Vec<HostName>,
    /// Since when the fingerprints of other hosts differ from this one's.
    differing: HashMap<HostName, Duration>,
    compared: Option<Duration>,
}

impl Gossip {
    /// Creates the state of a host that starts at `now` and knows no other host.
    #[must_use]
    pub fn new(own: Member, incarnation: Incarnation, now: Duration) -> Self {
        let roster = Roster::new(own, incarnation, now);
        let mut gossip = Self {
            untold: vec![roster.own().member.name.clone()],
            graph: Graph::default(),
            former: Vec::new(),
            watch: Watch::default(),
            differing: HashMap::new(),
            compared: None,
            roster,
        };
        gossip.refresh(now);
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
    pub fn list(&mut self, now: Duration, members: Vec<Member>) {
        for it in members {
            self.roster.list(now, it);
        }
        self.refresh(now);
    }

    /// Sets this host's own state. Returns whether it changed.
    pub fn set_state(&mut self, now: Duration, state: State) -> bool {
        let changed = self.roster.set_own(now, state);
        if changed {
            self.mark(self.roster.own().member.name.clone());
        }
        changed
    }

    /// Returns the update to send now. A change is sent once: a neighbour that misses it
    /// receives it from other hosts or through a comparison.
    pub fn pulse(&mut self, now: Duration) -> Pulse {
        self.refresh(now);
        self.former.retain(|it| now < it.1);
        let untold = std::mem::take(&mut self.untold);
        Pulse {
            records: untold
                .iter()
                .filter_map(|it| self.roster.get(it))
                .cloned()
                .collect(),
            fingerprint: self.roster.fingerprint(),
        }
    }

    /// Returns an update with all live hosts, for a host that has just started.
    #[must_use]
    pub fn whole(&self) -> Pulse {
        Pulse {
            records: self.roster.live().cloned().collect(),
            fingerprint: self.roster.fingerprint(),
        }
    }

    /// Returns the hosts that this host sends updates to.
    #[must_use]
    pub fn audience(&self) -> Vec<Member> {
        let former = self.former.iter().map(|it| &it.0);
        self.graph
            .successors()
            .chain(former)
            .filter_map(|it| self.roster.get(it))
            .map(|it| it.member.clone())
            .collect()
    }

    /// Applies an update from another host.
    pub fn hear(&mut self, now: Duration, from: &HostName, pulse: &Pulse) -> Heard {
        self.watch.hear(now, from);
        let is_news = self.merge(now, &pulse.records);
        let differs = self.differs(now, from, pulse.fingerprint);
        Heard { is_news, differs }
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
    pub fn settle(&mut self, now: Duration, comparison: &Comparison) -> (Vec<Record>, bool) {
        let is_news = self.merge(now, &comparison.records);
        let wanted = self.roster.by_tags(&comparison.wanted);
        (wanted, is_news)
    }

    /// Merges records into the roster. Returns whether any of them changed it.
    pub fn merge(&mut self, now: Duration, records: &[Record]) -> bool {
        let mut is_news = false;
        for it in records {
            if let Some(name) = self.roster.merge(now, it) {
                self.mark(name);
                is_news = true;
            }
        }
        is_news
    }

    /// Returns the hosts that have been silent for too long and should be probed.
    pub fn suspects(&mut self, now: Duration) -> Vec<Member> {
        self.refresh(now);
        let suspects = self.watch.suspects(now);
        let find = |it: &HostName| self.roster.get(it).map(|it| it.member.clone());
        suspects.iter().filter_map(find).collect()
    }

    /// Records that a host answered a probe or is known to be alive for another reason.
    pub fn answered(&mut self, now: Duration, host: &HostName) {
        self.watch.answered(now, host);
    }

    /// Records that a host did not answer a probe. Returns whether it is now marked silent.
    ///
    /// A host that is cut off hears nobody, and without this guard would spread the claim that
    /// all others are silent when it reconnects. If none of its predecessors reaches a host, it
    /// marks nobody silent unless it reaches the store: then it may be the only one left.
    pub fn unanswered(&mut self, now: Duration, host: &HostName, contact: Contact) -> bool {
        match (self.watch.unanswered(now, host), contact) {
            (Finding::Silent, _) | (Finding::Deaf, Contact::Store) => {}
            (Finding::Heard, _) | (Finding::Deaf, Contact::Lost) => return false,
        }
        self.watch.spare(now, host);
        let Some(name) = self.roster.silence(now, host) else {
            return false;
        };
        self.mark(name);
        true
    }

    /// Returns a silent host to reconnect to, chosen by a random number from 0 to 1. The
    /// probability falls with the number of hosts, so that the total rate of attempts stays
    /// constant.
    #[must_use]
    pub fn lost(&self, chance: f64) -> Option<Member> {
        self.roster.lost(chance)
    }

    fn mark(&mut self, name: HostName) {
        if !self.untold.contains(&name) {
            self.untold.push(name);
        }
    }

    fn refresh(&mut self, now: Duration) {
        if self.graph.is_of(&self.roster) {
            return;
        }
        let before: Vec<HostName> = self.graph.successors().cloned().collect();
        self.graph = Graph::new(&self.roster);
        // New successors need this host's own record first: nobody else may know it yet.
        if self.graph.successors().any(|it| !before.contains(it)) {
            self.mark(self.roster.own().member.name.clone());
        }
        self.linger(now, before);
        self.watch.expect(now, self.graph.predecessors());
    }

    /// Keeps sending updates to former successors for a while.
    ///
    /// A host that was wrongly marked silent is removed from everyone's graph. Without these
    /// updates it would never learn of the claim and couldn't refute it.
    fn linger(&mut self, now: Duration, before: Vec<HostName>) {
        const LINGER: Duration = Duration::from_secs(1);
        let known = std::mem::take(&mut self.former);
        let fresh = before.into_iter().map(|it| (it, now + LINGER));
        for (host, until) in fresh.chain(known) {
            let is_known = self.former.iter().any(|it| it.0 == host);
            let is_told = self.graph.successors().any(|it| *it == host);
            if now < until && !is_known && !is_told && self.former.len() < DEGREE {
                self.former.push((host, until));
            }
        }
    }

    fn differs(&mut self, now: Duration, from: &HostName, fingerprint: u64) -> bool {
        if fingerprint == self.roster.fingerprint() {
            self.differing.remove(from);
            return false;
        }
        let since = *self.differing.entry(from.clone()).or_insert(now);
        let is_due = self.compared.is_none_or(|at| now >= at + COMPARE_PAUSE);
        let differs = is_due && now >= since + PATIENCE;
        if differs {
            self.compared = Some(now);
            self.differing.clear();
        }
        differs
    }
}

/// Whether this host has recently reached the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Contact {
    /// The store answered recently.
    Store,
    /// The store has not answered recently.
    Lost,
}
