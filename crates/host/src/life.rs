//! A host from its start to its end.

mod listed;
mod turns;

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::mem::Discriminant;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_std::channel::{Receiver, Sender, bounded};
use async_std::task::sleep;
use forward::{Dialect, Front, Node, Phase};
use kernel::{Incarnation, ServiceName};
use link::keys::Authority;
use link::{Incoming, Link};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use telemetry::{Event, Recorder, Value};
use wire::{Frame, Identity, Payload};

use crate::addresses::Address;
use crate::follow::{documents, endpoints, ends, members, verdicts};
use crate::gossip::{Contact, Gossip, State};
use crate::listing::Listing;
use crate::message::{Message, Question};
use crate::{Backoff, Joined, Judgement, Member, Store, say, talk};

pub(crate) use listed::{Listed, is_much_later};

/// How often old connections are closed.
const SWEEP_PERIOD: Duration = Duration::from_secs(1);
/// How often a host that leaves looks whether its last request has ended.
const END_PERIOD: Duration = Duration::from_millis(50);

/// How far apart hosts find the others when the whole fleet starts for the first time.
/// All at once would find nobody, and each try to write the authority: three calls a
/// host in place of one.
const FIRST_START: Duration = Duration::from_millis(500);
/// How long ago a call to the store may have been answered for it to count as reached.
const REACHED: Duration = Duration::from_millis(2_500);

/// The name under which the hosts' authority signs.
const FLEET: &str = "barleypin";
/// How long a connection between hosts lives without a word. News is told twice
/// a second, so this only ends those to hosts that are gone.
const LINK_IDLE: Duration = Duration::from_secs(10);
/// How long a connection between hosts may take to open.
const LINK_CONNECT: Duration = Duration::from_millis(800);

/// A host from its start to its end.
pub struct Life<S, D> {
    pub(crate) store: S,
    pub(crate) node: Rc<Node<D>>,
    pub(crate) gossip: RefCell<Gossip>,
    pub(crate) judgements: RefCell<HashMap<ServiceName, Judgement>>,
    /// The listing of endpoints that is in use, as it is handed on.
    pub(crate) listing: RefCell<Listing>,
    /// The same, as it is compared with others.
    pub(crate) listed: Cell<Option<Listed>>,
    pub(crate) config_text: RefCell<Option<Arc<[u8]>>>,
    /// What another host is being asked for.
    pub(crate) asking: RefCell<HashSet<Discriminant<Question>>>,
    /// Says that something changed which the others should hear at once.
    pub(crate) hurry: Sender<()>,
    pub(crate) changes: Receiver<()>,
    pub(crate) incarnation: Incarnation,
    /// Says to those who wait for news of the store that it was away meanwhile.
    pub(crate) returns: [(Sender<()>, Receiver<()>); 2],
    /// The kinds of store call that failed last.
    pub(crate) lost: RefCell<HashSet<&'static str>>,
    /// How many entries of each listing couldn't be used when it was read last.
    pub(crate) unusable: RefCell<HashMap<&'static str, usize>>,
    /// When the store last confirmed the configuration in force, to this host or
    /// to another one that told so.
    pub(crate) confirmed: Cell<Option<Duration>>,
    /// Whether a question for news of the configuration is open at the store.
    pub(crate) watches: Cell<bool>,
    /// Whether the store was asked for the other hosts, with whatever success.
    pub(crate) looked: Cell<bool>,
    /// Whether a neighbour was asked for everything, with whatever success.
    pub(crate) greeted: Cell<bool>,
    /// How many hosts the store listed then.
    pub(crate) found: Cell<Option<usize>>,
    /// When that was.
    pub(crate) joined: Cell<Option<Duration>>,
    /// The hosts that the router knows of, by the roster's epoch.
    peers: Cell<Option<u64>>,
    /// Whether this host is in the store's listing.
    pub(crate) is_enlisted: Cell<bool>,
    /// This host's end of the links to the others, once it has joined them.
    pub(crate) link: RefCell<Option<Link>>,
    /// How often the store has come back from a copy, once it was reached.
    pub(crate) era: Cell<Option<u64>>,
    /// When a call to the store was last answered.
    pub(crate) reached: Cell<Option<Duration>>,
    start: Start,
    pub(crate) started: Duration,
    own: Member,
    rng: RefCell<Pcg32>,
    answers: Cell<bool>,
}

/// Whether others may be there when a host starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    /// The whole fleet starts for the first time.
    First,
    /// Any later one.
    Later,
}

/// How long a host that was asked to stop still serves, all from that moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Serving {
    /// How long it takes every request.
    pub taking: Duration,
    /// How long callers may keep its address. Until then it answers them: it
    /// takes what ends in time, and refuses the rest at once. A closed port would
    /// cost each of them a connection that fails.
    pub known: Duration,
    /// When the process ends at the latest.
    pub whole: Duration,
}

impl<S: Store, D: Dialect> Life<S, D> {
    /// A host that has not started yet.
    #[must_use]
    pub fn new(store: S, node: Rc<Node<D>>, own: Member, start: Start, seed: u64) -> Rc<Self> {
        let (hurry, changes) = bounded(1);
        Rc::new(Self {
            gossip: RefCell::new(Gossip::new(own.clone(), Incarnation(seed), node.now())),
            listing: RefCell::default(),
            listed: Cell::new(None),
            config_text: RefCell::default(),
            asking: RefCell::default(),
            watches: Cell::new(false),
            looked: Cell::new(false),
            greeted: Cell::new(false),
            found: Cell::new(None),
            joined: Cell::new(None),
            peers: Cell::new(None),
            is_enlisted: Cell::new(false),
            link: RefCell::default(),
            era: Cell::new(None),
            reached: Cell::new(None),
            start,
            returns: [bounded(1), bounded(1)],
            lost: RefCell::default(),
            unusable: RefCell::default(),
            confirmed: Cell::new(None),
            hurry,
            changes,
            incarnation: Incarnation(seed),
            store,
            judgements: RefCell::default(),
            started: node.now(),
            node,
            own,
            rng: RefCell::new(Pcg32::seed_from_u64(seed)),
            answers: Cell::new(false),
        })
    }

    /// Starts everything that goes on while the host lives.
    pub fn start(self: &Rc<Self>, front: Front) {
        self.node.spawn(front.run(Rc::clone(&self.node)));
        self.answers.set(true);
        self.node.spawn(documents::follow(Rc::clone(self)));
        self.node.spawn(verdicts::follow(Rc::clone(self)));
        self.node.spawn(endpoints::follow(Rc::clone(self)));
        self.node.spawn(members::follow(Rc::clone(self)));
        self.node.spawn(verdicts::judge(Rc::clone(self)));
        self.node.spawn(ends::follow(Rc::clone(self)));
        self.node.spawn(ends::keep(Rc::clone(self)));
        self.node.spawn(talk::join(Rc::clone(self)));
        self.node.spawn(sweep(Rc::clone(&self.node)));
        self.node.spawn(say::gauges(Rc::clone(self)));
    }

    /// What logs and counts.
    #[must_use]
    pub fn recorder(&self) -> &Recorder {
        self.node.recorder()
    }

    /// The relay.
    #[must_use]
    pub fn node(&self) -> &Rc<Node<D>> {
        &self.node
    }

    /// The hosts that callers may be sent to.
    #[must_use]
    pub fn live(&self) -> Vec<Address> {
        self.renew_state();
        self.gossip.borrow().roster().addresses(self.node.now())
    }

    /// Whether callers are to come: the front answers, a configuration and
    /// endpoints are known, and nobody asked the host to stop.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let router = self.node.router();
        let knows = router.config().is_some() && !router.directory().is_empty();
        self.answers.get() && knows && self.node.phase() == Phase::Serving
    }

    /// Leaves: tells the others, serves those who still come, and returns when
    /// nobody comes any more and nothing is left, or the time is over.
    pub async fn leave(&self, serving: Serving) {
        let began = self.node.now();
        let end = began + serving.whole;
        self.node.leave();
        self.hurry();
        self.sleep_until(began + serving.taking).await;
        self.node.finish(end);
        self.sleep_until(began + serving.known.min(serving.whole))
            .await;
        self.say_goodbye();
        // Nothing may be waited for between the last look and the end: who comes
        // meanwhile would be taken, and cut off with the process.
        loop {
            sleep(END_PERIOD).await;
            if self.node.busy() == 0 || self.node.now() >= end {
                break;
            }
        }
    }

    /// Tells the neighbours that this host is gone: they need not find out.
    fn say_goodbye(&self) {
        let now = self.node.now();
        self.gossip.borrow_mut().set_state(now, State::Gone);
        if let Some(link) = &*self.link.borrow() {
            talk::say(self, link);
        }
    }

    async fn sleep_until(&self, at: Duration) {
        sleep(at.saturating_sub(self.node.now())).await;
    }

    /// This host, as the others find it.
    pub(crate) fn own(&self) -> &Member {
        &self.own
    }

    /// Whether this host was asked to stop.
    pub(crate) fn is_leaving(&self) -> bool {
        self.node.phase() != Phase::Serving
    }

    /// Takes into what is told how this host is.
    pub(crate) fn renew_state(&self) {
        let now = self.node.now();
        let mut gossip = self.gossip.borrow_mut();
        if gossip.roster().own().state == State::Gone {
            return;
        }
        let state = match (self.is_leaving(), self.is_ready()) {
            (true, _) => State::Leaving,
            (false, true) => State::Ready,
            (false, false) => State::Starting,
        };
        if gossip.set_state(now, state) {
            self.hurry();
        }
        let hosts = u32::try_from(gossip.roster().count()).unwrap_or(u32::MAX);
        self.node.router().set_hosts(hosts);
        let epoch = Some(gossip.roster().epoch());
        if self.knows_hosts() && self.peers.replace(epoch) != epoch {
            let peers = gossip.roster().peers();
            self.node.router().set_peers(Some(peers));
        }
    }

    /// Whether this host surely knows the others: it has found them in the store's listing,
    /// and such as started at the same moment have had the time to tell it.
    fn knows_hosts(&self) -> bool {
        const TELLING: Duration = Duration::from_secs(2);
        let joined = self.joined.get();
        joined.is_some_and(|it| self.node.now() >= it + TELLING)
    }

    /// Whether the store was reached lately.
    pub(crate) fn contact(&self) -> Contact {
        let now = self.node.now();
        match self.reached.get() {
            Some(at) if now.saturating_sub(at) < REACHED => Contact::Store,
            _ => Contact::Lost,
        }
    }

    /// Takes that the configuration in force was the store's at this time, and
    /// says whether that is much later than was known.
    pub(crate) fn confirm(&self, at: Duration) -> bool {
        let known = self.confirmed.get();
        self.confirmed.set(known.max(Some(at)));
        is_much_later(at, known)
    }

    /// A message as it goes to another host; nothing if it can't be encoded.
    pub(crate) fn frame(&self, message: &Message) -> Option<Frame> {
        let from = Identity {
            host: self.own.name.clone(),
            incarnation: self.incarnation,
        };
        let bytes = postcard::to_stdvec(message).ok()?;
        Some(Frame::Decide(Payload { from, bytes }))
    }

    /// Waits for this host's turn to find the others.
    pub(crate) async fn wait_to_join(&self) {
        if self.start == Start::First {
            sleep(FIRST_START.mul_f64(self.lot())).await;
        }
    }

    /// Opens this host's end of the talk between hosts.
    pub(crate) async fn open_link(&self) -> Option<(Link, Receiver<Incoming>)> {
        let made = Authority::generate(FLEET).ok()?;
        let began = self.node.now();
        let joined = self.store.join(made).await;
        say::store(self, "join", began, &joined);
        let Joined {
            authority,
            members,
            held,
        } = joined.ok()?;
        self.found.set(Some(members.len()));
        self.joined.set(Some(self.node.now()));
        self.is_enlisted.set(members.contains(&self.own));
        let now = self.node.now();
        self.gossip.borrow_mut().list(now, members);
        self.node.router().quarantine().recall(now, &held);
        let keys = authority.issue(&self.own.name).ok()?;
        self.recorder()
            .say(Event::Joined, &[("address", Value::Text(&self.own.link))]);
        let mut settings = link::Settings::new(self.own.link, keys);
        settings.idle = LINK_IDLE;
        settings.connect_timeout = LINK_CONNECT;
        Link::bind(&settings).ok()
    }

    /// Has news of the store asked for anew.
    ///
    /// A store that falls silent without closing its connections never answers
    /// the questions that it had then. Who waited for news on one would miss a
    /// configuration for as long as the question may last.
    pub(crate) fn ask_anew(&self) {
        for (sender, _) in &self.returns {
            // One that waits already is as good as two.
            let _ = sender.try_send(());
        }
    }

    /// Has the others told at once instead of with the next news.
    pub(crate) fn hurry(&self) {
        // One that waits already is as good as two.
        let _ = self.hurry.try_send(());
    }

    /// Waits after a question to the store that failed.
    pub(crate) async fn back_off(&self, backoff: &mut Backoff) {
        let lot = self.lot();
        sleep(backoff.pause(self.others(), lot)).await;
    }

    /// How many other hosts are heard.
    fn others(&self) -> usize {
        self.gossip.borrow().roster().count() - 1
    }

    /// A number from 0 to 1, by chance.
    pub(crate) fn lot(&self) -> f64 {
        self.rng.borrow_mut().random()
    }
}

async fn sweep<D: Dialect>(node: Rc<Node<D>>) {
    loop {
        sleep(SWEEP_PERIOD).await;
        node.sweep();
    }
}
