//! The running host: its state, its tasks, and its shutdown.

mod listing_meta;
mod readers;
mod store_calls;

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::mem::Discriminant;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_std::channel::{Receiver, Sender, bounded};
use async_std::task::sleep;
use forward::{Dialect, Listener, Node, Phase};
use kernel::{Incarnation, ServiceName};
use link::keys::Authority;
use link::{Incoming, Link, Peer};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use route::reach::State as Reach;
use telemetry::{Event, Recorder, Value};
use wire::{Frame, Identity, Payload};

use crate::addresses::Address;
use crate::availability::Availability;
use crate::follow::{documents, endpoints, members, quarantine, rate_limits, verdicts};
use crate::gossip::{Gossip, MAX_LISTED, State};
use crate::listing::Listing;
use crate::long_poll::LongPoll;
use crate::message::{Message, Request};
use crate::{JoinInfo, Member, RolloutVerdict, Stall, Store, messaging, report, stall};

pub use listing_meta::ListingMeta;
pub(crate) use listing_meta::is_much_later;

/// Interval at which connections to endpoints are closed if idle for too long to be reused.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which a host that shuts down checks for remaining requests.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time over which hosts spread their first join when the whole fleet starts for the
/// first time. Without the spread, each host would find no certificate authority in the store
/// and try to write its own: three store calls per host instead of one.
const FIRST_START_SPREAD: Duration = Duration::from_millis(500);

/// Name of the certificate authority that the hosts share.
const AUTHORITY_NAME: &str = "barleypin";
/// Idle timeout of a connection between hosts. Updates are sent twice a second, so
/// connections between neighbours don't reach it.
const LINK_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
const LINK_CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// A running host: its state, and the tasks that work on it.
pub struct Host<S, D> {
    pub(crate) store: S,
    pub(crate) node: Rc<Node<D>>,
    pub(crate) gossip: RefCell<Gossip>,
    pub(crate) verdicts: RefCell<HashMap<ServiceName, RolloutVerdict>>,
    /// The listing of endpoints in use, as it is sent to other hosts.
    pub(crate) listing: RefCell<Listing>,
    /// Read time and fingerprint of that listing, for comparison with other hosts'.
    pub(crate) listing_meta: Cell<Option<ListingMeta>>,
    pub(crate) config_text: RefCell<Option<Arc<[u8]>>>,
    /// Other hosts that have a listing, while this host has none.
    pub(crate) listing_sources: RefCell<Vec<Peer>>,
    /// Whether the listing is being fetched from other hosts.
    pub(crate) is_fetching_listing: Cell<bool>,
    /// The kinds of request to other hosts that are in flight.
    pub(crate) in_flight_requests: RefCell<HashSet<Discriminant<Request>>>,
    /// Wakes the task that sends updates to the neighbours.
    pub(crate) update_trigger: Sender<()>,
    pub(crate) update_requests: Receiver<()>,
    pub(crate) incarnation: Incarnation,
    /// The long poll for changes of the operators' documents.
    pub(crate) documents_poll: LongPoll,
    /// The long poll for verdicts on roll-outs.
    pub(crate) verdicts_poll: LongPoll,
    /// The long poll for changes of the listing of endpoints.
    pub(crate) endpoints_poll: LongPoll,
    pub(crate) availability: Cell<Availability>,
    pub(crate) stall: Cell<Stall>,
    /// Number of times that the store responded to other hosts after it hadn't to this one.
    pub(crate) store_returns: Cell<u32>,
    /// The kinds of store call whose last attempt failed.
    pub(crate) failing_calls: RefCell<HashSet<&'static str>>,
    /// Number of unusable entries in each listing when it was last read.
    pub(crate) unusable_entries: RefCell<HashMap<&'static str, usize>>,
    /// The time at which the store last had the configuration in force, as observed by this host or
    /// by one that reported it.
    pub(crate) config_confirmed: Cell<Option<Duration>>,
    /// Whether an attempt to join the fleet has ended, successful or not.
    pub(crate) join_attempted: Cell<bool>,
    /// Whether the bootstrap from neighbours is over: one has sent its state, all attempts
    /// have ended, or joining has failed.
    pub(crate) bootstrap_attempted: Cell<bool>,
    /// The last time at which another host sent a part of the state that this host starts with.
    pub(crate) state_received: Cell<Option<Duration>>,
    /// Number of hosts that the store listed when this host joined.
    pub(crate) hosts_found: Cell<Option<usize>>,
    /// The time at which the join call to the store succeeded.
    pub(crate) joined_at: Cell<Option<Duration>>,
    /// The epoch of the roster that the router received last.
    peers_epoch: Cell<Option<u64>>,
    /// The epoch of the relays that the router received last.
    relays_epoch: Cell<Option<u64>>,
    /// Whether the store's listing had this host at the join, or this host has written its
    /// entry.
    pub(crate) is_registered: Cell<bool>,
    /// The links to the other hosts, once this host has joined the fleet.
    pub(crate) link: RefCell<Option<Link>>,
    /// Number of times that the store was restored from a copy; unknown before the
    /// first call to it.
    pub(crate) era: Cell<Option<u64>>,
    start: Start,
    pub(crate) started: Duration,
    own: Member,
    rng: RefCell<Pcg32>,
    is_accepting: Cell<bool>,
}

/// Distinguishes the first start of the whole fleet from all other starts of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    /// The whole fleet starts for the first time.
    First,
    /// Any later start.
    Later,
}

/// The phases of a shutdown, each as a time since the request to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownSchedule {
    /// The end of the phase in which the host accepts every request.
    pub accept_until: Duration,
    /// The end of the phase in which callers may still use its address. At least until then it
    /// keeps its port open, accepts requests that can end in time and refuses the others
    /// immediately. A closed port would cost each caller a failed connection.
    pub listen_until: Duration,
    /// The latest exit of the process.
    pub exit_by: Duration,
}

impl<S: Store, D: Dialect> Host<S, D> {
    /// Creates a host that has not started yet.
    #[must_use]
    pub fn new(store: S, node: Rc<Node<D>>, own: Member, start: Start, seed: u64) -> Rc<Self> {
        let (update_trigger, update_requests) = bounded(1);
        Rc::new(Self {
            gossip: RefCell::new(Gossip::new(own.clone(), Incarnation(seed), node.now())),
            listing: RefCell::default(),
            listing_meta: Cell::new(None),
            config_text: RefCell::default(),
            listing_sources: RefCell::default(),
            is_fetching_listing: Cell::new(false),
            in_flight_requests: RefCell::default(),
            join_attempted: Cell::new(false),
            bootstrap_attempted: Cell::new(false),
            state_received: Cell::new(None),
            hosts_found: Cell::new(None),
            joined_at: Cell::new(None),
            peers_epoch: Cell::new(None),
            relays_epoch: Cell::new(None),
            is_registered: Cell::new(false),
            link: RefCell::default(),
            era: Cell::new(None),
            start,
            documents_poll: LongPoll::default(),
            verdicts_poll: LongPoll::default(),
            endpoints_poll: LongPoll::default(),
            store_returns: Cell::new(0),
            availability: Cell::default(),
            stall: Cell::new(Stall::new(node.now())),
            failing_calls: RefCell::default(),
            unusable_entries: RefCell::default(),
            config_confirmed: Cell::new(None),
            update_trigger,
            update_requests,
            incarnation: Incarnation(seed),
            store,
            verdicts: RefCell::default(),
            started: node.now(),
            node,
            own,
            rng: RefCell::new(Pcg32::seed_from_u64(seed)),
            is_accepting: Cell::new(false),
        })
    }

    /// Starts the host's tasks.
    pub fn start(self: &Rc<Self>, listener: Listener) {
        self.node.spawn(listener.run(Rc::clone(&self.node)));
        self.is_accepting.set(true);
        self.node.spawn(documents::follow(Rc::clone(self)));
        self.node.spawn(verdicts::follow(Rc::clone(self)));
        self.node.spawn(endpoints::follow(Rc::clone(self)));
        self.node.spawn(members::follow(Rc::clone(self)));
        self.node.spawn(verdicts::write_all(Rc::clone(self)));
        self.node.spawn(quarantine::share(Rc::clone(self)));
        self.node.spawn(quarantine::persist(Rc::clone(self)));
        self.node.spawn(rate_limits::share(Rc::clone(self)));
        self.node.spawn(messaging::join(Rc::clone(self)));
        self.node.spawn(stall::watch(Rc::clone(self)));
        self.node.spawn(sweep(Rc::clone(&self.node)));
        self.node.spawn(report::run_gauges(Rc::clone(self)));
    }

    /// Returns the recorder for log events and metrics.
    #[must_use]
    pub fn recorder(&self) -> &Recorder {
        self.node.recorder()
    }

    /// Returns the forwarding node.
    #[must_use]
    pub fn node(&self) -> &Rc<Node<D>> {
        &self.node
    }

    /// Returns the addresses of the hosts that callers may use.
    #[must_use]
    pub fn serving_addresses(&self) -> Vec<Address> {
        self.refresh_state();
        self.gossip.borrow().roster().addresses(self.node.now())
    }

    /// Returns whether the host is ready for callers: it accepts connections, knows a
    /// configuration and endpoints, and wasn't asked to stop.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let router = self.node.router();
        let has_state = router.config().is_some() && !router.directory().is_empty();
        self.is_accepting.get() && has_state && self.node.phase() == Phase::Serving
    }

    /// Shuts down: tells the other hosts, serves remaining callers, and returns after
    /// `schedule.listen_until` as soon as no request is in progress, or once
    /// `schedule.exit_by` has passed.
    pub async fn leave(&self, schedule: ShutdownSchedule) {
        let began = self.node.now();
        let end = began + schedule.exit_by;
        self.node.leave();
        self.schedule_update();
        self.sleep_until(began + schedule.accept_until).await;
        self.node.drain(end);
        self.sleep_until(began + schedule.listen_until.min(schedule.exit_by))
            .await;
        self.announce_end();
        // No await between the last check and the return: a request that was accepted in
        // between would be cut off when the process ends.
        loop {
            sleep(DRAIN_POLL_INTERVAL).await;
            if self.node.active_requests() == 0 || self.node.now() >= end {
                break;
            }
        }
    }

    /// Tells the neighbours that this host ends, so that they needn't detect it.
    fn announce_end(&self) {
        let now = self.node.now();
        self.gossip.borrow_mut().set_state(now, State::Gone);
        if let Some(link) = &*self.link.borrow() {
            messaging::send_update(self, link);
        }
    }

    pub(crate) async fn sleep_until(&self, at: Duration) {
        sleep(at.saturating_sub(self.node.now())).await;
    }

    /// Returns this host's entry in the listing of hosts.
    pub(crate) fn own(&self) -> &Member {
        &self.own
    }

    /// Returns whether this host was asked to stop.
    pub(crate) fn is_leaving(&self) -> bool {
        self.node.phase() != Phase::Serving
    }

    /// Updates this host's own record, and the router's view of the other hosts.
    pub(crate) fn refresh_state(&self) {
        let now = self.node.now();
        let mut gossip = self.gossip.borrow_mut();
        if gossip.roster().own().state == State::Gone {
            return;
        }
        let state = match (self.is_leaving(), self.is_ready()) {
            (true, _) => State::Leaving,
            (false, true) => match self.node.router().reach() {
                Reach::Reachable => State::Ready,
                Reach::CutOff => State::Isolated,
            },
            (false, false) => State::Starting,
        };
        if gossip.set_state(now, state) {
            self.schedule_update();
        }
        if self.knows_host_count() {
            self.node
                .router()
                .set_host_count(gossip.roster().host_count());
        }
        let epoch = Some(gossip.roster().epoch());
        if self.is_roster_settled() && self.peers_epoch.replace(epoch) != epoch {
            let peers = gossip.roster().peers();
            self.node.router().set_peers(Some(peers));
        }
        let epoch = Some(gossip.roster().ready_epoch());
        if self.relays_epoch.replace(epoch) != epoch {
            let relays = gossip.roster().relays();
            self.node.router().set_relays(relays);
        }
    }

    /// Returns whether the roster has all hosts: the store listed them at the join, unless it lists
    /// only some, or they had time to announce themselves.
    fn knows_host_count(&self) -> bool {
        let found = self.hosts_found.get();
        found.is_some_and(|it| it < MAX_LISTED) || self.is_roster_settled()
    }

    /// Returns whether the roster can be relied on: the host has joined, and hosts that
    /// started at the same time have had time to announce themselves.
    fn is_roster_settled(&self) -> bool {
        const SETTLING_TIME: Duration = Duration::from_secs(2);
        let joined_at = self.joined_at.get();
        joined_at.is_some_and(|it| self.node.now() >= it + SETTLING_TIME)
    }

    /// Encodes a message to another host; `None` if it can't be encoded.
    pub(crate) fn frame(&self, message: &Message) -> Option<Frame> {
        let from = Identity {
            host: self.own.name.clone(),
            incarnation: self.incarnation,
        };
        let bytes = postcard::to_stdvec(message).ok()?;
        Some(Frame::Decide(Payload { from, bytes }))
    }

    /// Waits for a random time when the whole fleet starts for the first time.
    pub(crate) async fn delay_first_join(&self) {
        if self.start == Start::First {
            sleep(FIRST_START_SPREAD.mul_f64(self.random_fraction())).await;
        }
    }

    /// Reads the data for joining the fleet from the store, and starts to listen for links of
    /// other hosts. Returns `None` if any step fails.
    pub(crate) async fn join_fleet(&self) -> Option<(Link, Receiver<Incoming>)> {
        let candidate = Authority::generate(AUTHORITY_NAME).ok()?;
        let began = self.node.now();
        let joined = self.store.join(candidate).await;
        report::record_store_call(self, "join", began, &joined);
        let JoinInfo {
            authority,
            members,
            quarantined,
            rollouts,
        } = joined.ok()?;
        self.hosts_found.set(Some(members.len()));
        self.joined_at.set(Some(self.node.now()));
        self.is_registered.set(members.contains(&self.own));
        let now = self.node.now();
        self.gossip.borrow_mut().add_listed(now, members);
        self.node
            .router()
            .quarantine()
            .load_persisted(now, &quarantined);
        self.node.router().load_rollout_records(now, rollouts);
        let keys = authority.issue(&self.own.name).ok()?;
        self.recorder()
            .log_event(Event::Joined, &[("address", Value::Text(&self.own.link))]);
        let mut settings = link::Settings::new(self.own.link, keys);
        settings.idle_timeout = LINK_IDLE_TIMEOUT;
        settings.connect_timeout = LINK_CONNECT_TIMEOUT;
        Link::bind(&settings).ok()
    }

    /// Sends the neighbours an update soon instead of at the next interval.
    pub(crate) fn schedule_update(&self) {
        // One pending update is enough.
        let _ = self.update_trigger.try_send(());
    }

    /// Returns a random number from 0 to 1.
    pub(crate) fn random_fraction(&self) -> f64 {
        self.rng.borrow_mut().random()
    }
}

async fn sweep<D: Dialect>(node: Rc<Node<D>>) {
    loop {
        sleep(SWEEP_INTERVAL).await;
        node.sweep();
    }
}
