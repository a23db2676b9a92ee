//! Who the other hosts are, whether they live, and how news of it travels.
//!
//! A pure core: it knows no network and no clock, so that hundreds of hosts run in
//! one test. [`crate::talk`] carries what it says. See `docs/design/gossip.md`.

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

/// How often a host tells its neighbours what it knows, if nothing happens.
pub const PERIOD: Duration = Duration::from_millis(500);
/// How long a host that has news waits for more before it tells them: many hosts that
/// start or fall silent at once are told in a few messages in place of one each. Five
/// hops of it are a tenth of a second.
pub const GATHER: Duration = Duration::from_millis(20);
/// The least time between two pieces of a host's news: sessions and counts that change
/// all the time go on with what changes in between. Five hops of it are half a second.
pub const SPACING: Duration = Duration::from_millis(100);
/// How often a host looks whether one that is silent is back.
pub const RETRY: Duration = Duration::from_secs(1);
/// How long another host's view may differ from this one's before they are compared:
/// news under way makes views differ for some hundred milliseconds.
const PATIENCE: Duration = Duration::from_millis(1_200);
/// The least time between two comparisons that this host begins.
const COMPARE_PAUSE: Duration = Duration::from_secs(1);

/// What a host tells its neighbours of the hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pulse {
    /// What it has learned since the last pulse.
    pub records: Vec<Record>,
    /// Tells whether two hosts know the same.
    pub fingerprint: u64,
}

/// What a pulse calls for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Heard {
    /// It changed what is known, and the neighbours are to hear it.
    pub is_news: bool,
    /// The sender's view has differed for too long and is to be compared.
    pub differs: bool,
}

/// Who the other hosts are, whether they live, and whom this host tells what.
#[derive(Debug)]
pub struct Gossip {
    roster: Roster,
    graph: Graph,
    watch: Watch,
    /// Whom this host told until lately, and until when it goes on.
    former: Vec<(HostName, Duration)>,
    /// Hosts of which something is known that the neighbours haven't been told.
    untold: Vec<HostName>,
    /// Since when other hosts' views differ from this one's.
    differing: HashMap<HostName, Duration>,
    compared: Option<Duration>,
}

impl Gossip {
    /// Knows only this host, which starts at `now`.
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

    /// The hosts.
    #[must_use]
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Who tells whom.
    #[must_use]
    pub fn graph(&self) -> &Graph {
        &self.graph
    }

    /// Takes the store's listing of hosts.
    pub fn list(&mut self, now: Duration, members: Vec<Member>) {
        for it in members {
            self.roster.list(now, it);
        }
        self.refresh(now);
    }

    /// Takes this host's own state, and says whether it changed.
    pub fn set_state(&mut self, now: Duration, state: State) -> bool {
        let changed = self.roster.set_own(now, state);
        if changed {
            self.mark(self.roster.own().member.name.clone());
        }
        changed
    }

    /// What is to be told now. What was told once isn't told again: with so many
    /// neighbours a lost message is made up for by the others', and by comparison.
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

    /// All that is known, for a host that has just started.
    #[must_use]
    pub fn whole(&self) -> Pulse {
        Pulse {
            records: self.roster.live().cloned().collect(),
            fingerprint: self.roster.fingerprint(),
        }
    }

    /// Whom this host tells.
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

    /// Takes another host's pulse.
    pub fn hear(&mut self, now: Duration, from: &HostName, pulse: &Pulse) -> Heard {
        self.watch.hear(now, from);
        let is_news = self.merge(now, &pulse.records);
        let differs = self.differs(now, from, pulse.fingerprint);
        Heard { is_news, differs }
    }

    /// What this host knows, short enough to be compared.
    #[must_use]
    pub fn digest(&self) -> Digest {
        Digest::of(&self.roster)
    }

    /// Answers another host that compares its view with this one's.
    #[must_use]
    pub fn compare(&self, digest: &Digest) -> Comparison {
        digest.compare(&self.roster)
    }

    /// Takes the answer to a comparison: what the other host knows and this one
    /// doesn't. What the other one wants is told with the next pulse to all, and
    /// returned for it. Says whether anything is new.
    pub fn settle(&mut self, now: Duration, comparison: &Comparison) -> (Vec<Record>, bool) {
        let is_news = self.merge(now, &comparison.records);
        let wanted = self.roster.by_tags(&comparison.wanted);
        (wanted, is_news)
    }

    /// Takes records, and says whether any is news.
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

    /// The hosts that have fallen silent and are to be asked whether they live.
    pub fn suspects(&mut self, now: Duration) -> Vec<Member> {
        self.refresh(now);
        let suspects = self.watch.suspects(now);
        let find = |it: &HostName| self.roster.get(it).map(|it| it.member.clone());
        suspects.iter().filter_map(find).collect()
    }

    /// Takes that a host answered, or has proved to live otherwise.
    pub fn answered(&mut self, now: Duration, host: &HostName) {
        self.watch.answered(now, host);
    }

    /// Takes that a host that was asked whether it lives didn't answer, and says
    /// whether it counts as silent from now on.
    ///
    /// Failure: a host that is cut off hears nobody, and would have everybody taken
    /// for silent once it is back. It shows as a host that none of those who should
    /// tell it something reach; such a one believes nothing, unless it reaches the
    /// store: then it may be the only one left.
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

    /// A silent host that is worth trying again, by a random number from 0 to 1. All
    /// hosts together try some four a second, whatever their number.
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
        // New neighbours hear first who tells them: nobody else may know this host.
        if self.graph.successors().any(|it| !before.contains(it)) {
            self.mark(self.roster.own().member.name.clone());
        }
        self.linger(now, before);
        self.watch.expect(now, self.graph.predecessors());
    }

    /// Goes on to tell former neighbours for a while.
    ///
    /// Failure: a host that was found silent wrongly leaves the graph of all, hears of
    /// it from nobody, and can't contradict.
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

/// Whether a host that hears no other reaches anything at all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Contact {
    /// It reaches the store.
    Store,
    /// It reached nothing lately.
    Lost,
}
