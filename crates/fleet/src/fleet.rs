//! The state machine: its state, and the dispatch of events to its parts.

mod choosing;
mod comparing;
mod configuring;
mod pooling;
mod probing;
mod spreading;

use std::collections::BTreeMap;
use std::time::Duration;

use kernel::{HostName, Revision};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use wire::{Frame, Identity, Member, State};

use crate::board::Board;
use crate::configuration::Configuration;
use crate::cx::Cx;
use crate::gossip::Gossip;
use crate::members::Members;
use crate::neighbours::Neighbours;
use crate::prober::Prober;
use crate::view::View;
use crate::{Action, Event, Tuning};

use self::pooling::Pooling;

/// This host's view of the fleet, and the protocol that keeps it up to date.
pub struct Fleet {
    me: Member,
    load: u8,
    tuning: Tuning,
    rng: Pcg64,
    members: Members,
    neighbours: Neighbours,
    view: View,
    board: Board,
    gossip: Gossip,
    prober: Prober,
    configuration: Configuration,
    pooling: Pooling,
    /// The hosts in the platform's list, used to discover members.
    listed: BTreeMap<HostName, Member>,
    timers: Timers,
    is_deposed: bool,
}

/// Times at which periodic work is next due.
#[derive(Default)]
struct Timers {
    probe: Duration,
    compare: Duration,
    reconnect: Duration,
    poll: Duration,
    housekeeping: Duration,
    /// Time of the previous event.
    ticked: Duration,
    /// For each host whose view differs, the time since when it does.
    differs: BTreeMap<HostName, Duration>,
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
            board: Board::default(),
            gossip: Gossip::default(),
            prober: Prober::default(),
            configuration: Configuration::default(),
            pooling: Pooling::default(),
            listed: BTreeMap::new(),
            timers: Timers::default(),
            is_deposed: false,
        }
    }

    /// Processes an event and appends the resulting actions.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        let cx = &mut Cx { now, actions };
        self.wake(cx);
        match event {
            Event::Tick => self.tick(cx),
            Event::Hosts(hosts) => self.listed(cx, hosts),
            Event::Frame { from, frame } => self.receive(cx, &from, frame),
            Event::Polled(polled) => self.polled(cx, polled),
            Event::PollFailed => {}
            Event::Evidence(deltas) => self.pool_own(cx, &deltas),
            Event::Ruled(ruled) => self.rule(cx, ruled),
            Event::Endpoint(endpoint) => self.learn_endpoint(cx, &endpoint, None),
            Event::Load(load) => self.load = load,
            Event::Leave => self.say_of_me(State::Leaving),
            Event::Goodbye => self.say_of_me(State::Dead),
            Event::Fenced(identity) => self.fenced(cx, &identity),
            Event::Drain(identity) => self.order_drain(cx, identity),
        }
        self.neighbours
            .refresh(&self.me, &self.members, self.tuning.rings);
        self.push_news(cx);
    }

    /// Returns the time at which the next [`Event::Tick`] is due.
    #[must_use]
    pub fn deadline(&self) -> Duration {
        let timers = &self.timers;
        let fixed = [
            timers.probe,
            timers.compare,
            timers.reconnect,
            timers.poll,
            timers.housekeeping,
        ];
        let moving = [
            self.probing_deadline(),
            self.push_deadline(),
            self.fetch_deadline(),
            self.pooling_deadline(),
        ];
        let all = fixed.into_iter().chain(moving.into_iter().flatten());
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

    /// Returns the last known load of a member, from 0 (idle) to 255 (full).
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
    /// or `None` if there has been no proof.
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

    /// Returns whether this incarnation has been declared dead permanently.
    #[must_use]
    pub fn is_deposed(&self) -> bool {
        self.is_deposed
    }

    /// Returns an estimate of the memory used by this view in bytes, excluding
    /// the configuration document.
    #[must_use]
    pub fn bytes(&self) -> usize {
        size_of::<Self>() + self.members.bytes() + self.board.bytes()
    }

    fn tick(&mut self, cx: &mut Cx) {
        self.probe_when_due(cx);
        self.judge_probes(cx);
        self.judge_suspects(cx);
        self.poll_when_due(cx);
        self.fetch_when_due(cx);
        self.pool_when_due(cx);
        self.compare_when_due(cx);
        self.reconnect_when_due(cx);
        self.keep_house(cx);
    }

    /// Restarts probe and suspicion timeouts after the process was frozen, for
    /// example by SIGSTOP. Otherwise all of them would have expired, and this
    /// host would declare live hosts unreachable.
    ///
    /// After a gap longer than dead members are remembered, no other host could
    /// report this incarnation's death to it, so it is deposed.
    fn wake(&mut self, cx: &mut Cx) {
        let gap = cx.now.saturating_sub(self.timers.ticked);
        let is_first = self.timers.ticked.is_zero();
        self.timers.ticked = cx.now;
        if is_first || gap <= self.tuning.probe_every * 2 {
            return;
        }
        self.prober.reset(cx.now);
        self.members.postpone(gap);
        if gap > self.tuning.forget_after {
            self.depose(cx);
        }
    }

    fn receive(&mut self, cx: &mut Cx, from: &HostName, frame: Frame) {
        match frame {
            Frame::Probe(probe) => self.probed(cx, from, probe),
            Frame::Ack(ack) => self.acked(cx, from, ack),
            Frame::ProbeRequest(request) => self.asked_to_probe(cx, from, request),
            Frame::News(news) => self.learn(cx, news, from),
            Frame::Digest(digest) => self.compared(cx, from, digest),
            Frame::Fetch(fetch) => self.asked_for_document(cx, from, &fetch),
            Frame::Document(document) => self.fetched(cx, document),
            Frame::Evidence(evidence) => self.pool(cx, evidence),
            Frame::Drain(identity) => self.order_drain(cx, identity),
            // Handled outside this crate, by the code that reads the connection.
            Frame::Done | Frame::Ledger(_) | Frame::Decide(_) => {}
        }
    }

    fn order_drain(&mut self, cx: &mut Cx, identity: Identity) {
        if identity == self.me.identity {
            return cx.push(Action::Drain);
        }
        if let Some(entry) = self.members.find_life(&identity) {
            cx.send(&entry.member, Frame::Drain(identity));
        }
    }

    fn depose(&mut self, cx: &mut Cx) {
        if !self.is_deposed {
            self.is_deposed = true;
            cx.push(Action::Deposed);
        }
    }

    fn keep_house(&mut self, cx: &mut Cx) {
        if cx.now < self.timers.housekeeping {
            return;
        }
        self.timers.housekeeping = cx.now + self.tuning.housekeeping_every;
        let forget = cx.now.saturating_sub(self.tuning.forget_after);
        self.bury(cx, forget);
        self.members.forget(forget);
        let compared = cx.now.saturating_sub(self.tuning.endpoint_age);
        self.board.age(&mut self.view, compared, forget);
        self.prober
            .forget(cx.now.saturating_sub(self.tuning.probe_timeout * 2));
        self.pooling.forget();
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
