//! The state machine: its state, and the dispatch of events to its parts.

mod anti_entropy;
mod config_sync;
mod dissemination;
mod evidence;
mod failure_detection;
mod selection;

use std::collections::BTreeMap;
use std::time::Duration;

use kernel::{HostName, Revision};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use wire::{Frame, Identity, Member, State};

use crate::announcements::Announcements;
use crate::configuration::Configuration;
use crate::cx::Cx;
use crate::gossip::Gossip;
use crate::members::Members;
use crate::neighbours::Neighbours;
use crate::prober::Prober;
use crate::view::View;
use crate::{Action, Event, Tuning};

use self::evidence::EvidenceQueues;

/// This host's view of the fleet, and the protocol that keeps it up to date.
pub struct Fleet {
    me: Member,
    load: u8,
    tuning: Tuning,
    rng: Pcg64,
    members: Members,
    neighbours: Neighbours,
    view: View,
    announcements: Announcements,
    gossip: Gossip,
    prober: Prober,
    configuration: Configuration,
    evidence: EvidenceQueues,
    /// The hosts in the platform's list, used to discover members.
    listed_hosts: BTreeMap<HostName, Member>,
    timers: Timers,
    is_deposed: bool,
}

/// Times at which periodic work is next due, and times of past events.
#[derive(Default)]
struct Timers {
    probe: Duration,
    compare: Duration,
    reconnect: Duration,
    poll: Duration,
    housekeeping: Duration,
    /// Time of the previous event.
    last_event: Duration,
    /// For each host whose view differs, the time at which the difference was first
    /// seen or last led to a comparison.
    differing_since: BTreeMap<HostName, Duration>,
}

impl Fleet {
    /// Creates the state of a host that knows no other member.
    #[must_use]
    pub fn new(me: Member, seed: u64, tuning: Tuning) -> Self {
        let mut view = View::default();
        view.toggle_member(&me);
        Self {
            me,
            load: 0,
            tuning,
            rng: Pcg64::seed_from_u64(seed),
            members: Members::default(),
            neighbours: Neighbours::default(),
            view,
            announcements: Announcements::default(),
            gossip: Gossip::default(),
            prober: Prober::default(),
            configuration: Configuration::default(),
            evidence: EvidenceQueues::default(),
            listed_hosts: BTreeMap::new(),
            timers: Timers::default(),
            is_deposed: false,
        }
    }

    /// Processes an event and appends the resulting actions.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        let cx = &mut Cx { now, actions };
        self.recover_from_freeze(cx);
        match event {
            Event::Tick => self.tick(cx),
            Event::Hosts(hosts) => self.handle_hosts(cx, hosts),
            Event::Frame { from, frame } => self.handle_frame(cx, &from, frame),
            Event::Polled(polled) => self.handle_polled(cx, polled),
            Event::PollFailed => {}
            Event::Evidence(deltas) => self.add_evidence(cx, &deltas),
            Event::Ruled(ruled) => self.publish_verdict(cx, ruled),
            Event::Endpoint(endpoint) => self.apply_endpoint(cx, &endpoint, None),
            Event::Load(load) => self.load = load,
            Event::Leave => self.set_own_state(State::Leaving),
            Event::Goodbye => self.set_own_state(State::Dead),
            Event::Fenced(identity) => self.handle_fence(cx, &identity),
            Event::Drain(identity) => self.handle_drain(cx, identity),
        }
        self.neighbours
            .refresh(&self.me, &self.members, self.tuning.rings);
        self.push_updates(cx);
    }

    /// Returns the time at which the next [`Event::Tick`] is due.
    #[must_use]
    pub fn deadline(&self) -> Duration {
        let timers = &self.timers;
        let periodic = [
            timers.probe,
            timers.compare,
            timers.reconnect,
            timers.poll,
            timers.housekeeping,
        ];
        let dynamic = [
            self.probe_deadline(),
            self.push_deadline(),
            self.fetch_deadline(),
            self.evidence_deadline(),
        ];
        let all = periodic.into_iter().chain(dynamic.into_iter().flatten());
        all.min().unwrap_or_default()
    }

    /// Returns this host's own membership record.
    #[must_use]
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Returns all other members, in any state.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().map(|it| &it.member)
    }

    /// Returns the last known load of this host or a member, from 0 (idle) to 255
    /// (full), or `None` if it is unknown.
    #[must_use]
    pub fn load(&self, host: &HostName) -> Option<u8> {
        if self.me.identity.host == *host {
            return Some(self.load);
        }
        self.members.find(host)?.load.map(|it| it.level)
    }

    /// Returns the configuration revision in force, or zero if there is none.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.configuration.revision()
    }

    /// Returns the age of the latest proof that no newer revision was committed,
    /// or `None` if there has been no proof for the revision in force.
    #[must_use]
    pub fn proof_age(&self, now: Duration) -> Option<Duration> {
        self.configuration.proof_age(now)
    }

    /// Returns whether this host may accept requests: a configuration is in force
    /// and this incarnation isn't deposed.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.configuration.json().is_some() && !self.is_deposed
    }

    /// Returns whether this incarnation is deposed; see [`Action::Deposed`].
    #[must_use]
    pub fn is_deposed(&self) -> bool {
        self.is_deposed
    }

    /// Returns an estimate of the memory used by the membership and announcement
    /// records in bytes. The configuration document, queues and caches aren't
    /// included.
    #[must_use]
    pub fn bytes(&self) -> usize {
        size_of::<Self>() + self.members.bytes() + self.announcements.bytes()
    }

    fn tick(&mut self, cx: &mut Cx) {
        self.probe_when_due(cx);
        self.check_probe_timeouts(cx);
        self.check_suspicion_timeouts(cx);
        self.poll_when_due(cx);
        self.fetch_when_due(cx);
        self.send_evidence_when_due(cx);
        self.compare_when_due(cx);
        self.reconnect_when_due(cx);
        self.run_housekeeping(cx);
    }

    /// At the first event, begins to wait for responses. Later, drops pending probes and extends suspicions after the process was frozen, for
    /// example by SIGSTOP. Otherwise all of them would have expired, and this
    /// host would declare live hosts unreachable.
    ///
    /// If the process was frozen for longer than [`Tuning::forget_after`], the other
    /// hosts may have declared this incarnation dead and removed its record, so none
    /// could report its death to it. It is deposed.
    fn recover_from_freeze(&mut self, cx: &mut Cx) {
        let gap = cx.now.saturating_sub(self.timers.last_event);
        let is_first = self.timers.last_event.is_zero();
        self.timers.last_event = cx.now;
        if is_first {
            return self.prober.reset(cx.now);
        }
        if gap <= self.tuning.probe_every * 2 {
            return;
        }
        self.prober.reset(cx.now);
        self.members.extend_suspicions(gap);
        if gap > self.tuning.forget_after {
            self.depose(cx);
        }
    }

    fn handle_frame(&mut self, cx: &mut Cx, from: &HostName, frame: Frame) {
        match frame {
            Frame::Probe(probe) => self.handle_probe(cx, from, probe),
            Frame::Ack(ack) => self.handle_ack(cx, from, ack),
            Frame::ProbeRequest(request) => self.handle_probe_request(cx, from, request),
            Frame::Gossip(message) => self.apply_gossip_message(cx, message, from),
            Frame::Digest(digest) => self.handle_digest(cx, from, digest),
            Frame::Fetch(fetch) => self.handle_fetch(cx, from, &fetch),
            Frame::Document(document) => self.handle_document(cx, document),
            Frame::Evidence(evidence) => self.handle_evidence(cx, evidence),
            Frame::Drain(identity) => self.handle_drain(cx, identity),
            // Handled outside this crate, by the code that reads the connection.
            Frame::Done | Frame::Ledger(_) | Frame::Decide(_) => {}
        }
    }

    fn handle_drain(&mut self, cx: &mut Cx, identity: Identity) {
        if identity == self.me.identity {
            return cx.push(Action::Drain);
        }
        if let Some(entry) = self.members.find_incarnation(&identity) {
            cx.send(&entry.member, Frame::Drain(identity));
        }
    }

    fn depose(&mut self, cx: &mut Cx) {
        if !self.is_deposed {
            self.is_deposed = true;
            cx.push(Action::Deposed);
        }
    }

    fn run_housekeeping(&mut self, cx: &mut Cx) {
        if cx.now < self.timers.housekeeping {
            return;
        }
        self.timers.housekeeping = cx.now + self.tuning.housekeeping_every;
        let forget_before = cx.now.saturating_sub(self.tuning.forget_after);
        self.declare_dead(cx, forget_before);
        self.members.forget(forget_before);
        let compared_before = cx.now.saturating_sub(self.tuning.endpoint_compared_for);
        self.announcements
            .expire(&mut self.view, compared_before, forget_before);
        self.prober
            .forget(cx.now.saturating_sub(self.tuning.probe_timeout * 2));
        self.evidence.forget();
    }

    /// Returns up to `max` elements, chosen at random.
    fn sample<T>(&mut self, mut from: Vec<T>, max: usize) -> Vec<T> {
        let mut chosen = Vec::new();
        while chosen.len() < max && !from.is_empty() {
            let at = self.rng.random_range(0..from.len());
            chosen.push(from.swap_remove(at));
        }
        chosen
    }
}
