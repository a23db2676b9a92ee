//! Many cores in one process, joined by a queue of frames on a virtual clock.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use kernel::HostName;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use wire::{Frame, Member};

use crate::measure::traffic::{OVERHEAD, acknowledgement};
use crate::measure::{Table, Traffic};
use crate::{Action, Event, Fleet, Tuning};

/// One way between two hosts of a data centre.
const SAME_DATA_CENTRE: Duration = Duration::from_micros(500);

/// One way between two data centres of a region.
const SAME_REGION: Duration = Duration::from_millis(2);

/// One way between two regions.
const OTHER_REGION: Duration = Duration::from_millis(60);

/// A read of the table, there and back.
const TABLE_READ: Duration = Duration::from_millis(6);

/// A fleet on a virtual clock.
pub struct Network {
    now: Duration,
    tuning: Tuning,
    rng: Pcg64,
    order: u64,
    queue: BinaryHeap<Reverse<Due>>,
    hosts: BTreeMap<HostName, Host>,
    addresses: BTreeMap<SocketAddr, HostName>,
    cuts: BTreeSet<(HostName, HostName)>,
    /// How likely a frame is lost.
    pub loss: f64,
    /// The platform's table.
    pub table: Table,
    /// What happened, but for frames and polls, since it was last cleared.
    pub observed: Vec<Observed>,
}

/// An action that a host asked for.
#[derive(Debug)]
pub struct Observed {
    /// When.
    pub at: Duration,
    /// Which host.
    pub host: HostName,
    /// What.
    pub action: Action,
}

struct Host {
    fleet: Fleet,
    traffic: Traffic,
    /// With whom it spoke since counting began.
    peers: BTreeSet<HostName>,
    /// What waits while the process is frozen.
    frozen: Option<Vec<Event>>,
    /// When it is woken next; an earlier entry in the queue is out of date.
    wake: Duration,
}

struct Due {
    at: Duration,
    order: u64,
    host: HostName,
    what: What,
}

enum What {
    Tick,
    Arrive { from: HostName, bytes: Vec<u8> },
    Read { asked: Duration },
}

impl Network {
    /// An empty fleet.
    #[must_use]
    pub fn new(seed: u64, tuning: Tuning) -> Self {
        Self {
            now: Duration::ZERO,
            tuning,
            rng: Pcg64::seed_from_u64(seed),
            order: 0,
            queue: BinaryHeap::new(),
            hosts: BTreeMap::new(),
            addresses: BTreeMap::new(),
            cuts: BTreeSet::new(),
            loss: 0.0,
            table: Table::default(),
            observed: Vec::new(),
        }
    }

    /// The virtual time.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.now
    }

    /// Starts a host, in place of an earlier one of the same name.
    pub fn start(&mut self, me: Member) {
        let name = me.identity.host.clone();
        let seed = self.rng.random();
        self.addresses.insert(me.fleet_address, name.clone());
        let fleet = Fleet::new(me, seed, self.tuning.clone());
        let host = Host {
            fleet,
            traffic: Traffic::default(),
            peers: BTreeSet::new(),
            frozen: None,
            wake: self.now,
        };
        self.hosts.insert(name.clone(), host);
        self.schedule(self.now, name, What::Tick);
    }

    /// Ends a host without a word.
    pub fn kill(&mut self, host: &HostName) {
        self.hosts.remove(host);
    }

    /// Stops a host's process; what comes meanwhile waits.
    pub fn freeze(&mut self, host: &HostName) {
        if let Some(host) = self.hosts.get_mut(host) {
            host.frozen.get_or_insert_default();
        }
    }

    /// Lets a frozen host go on.
    pub fn wake(&mut self, name: &HostName) {
        let Some(host) = self.hosts.get_mut(name) else {
            return;
        };
        for event in host.frozen.take().unwrap_or_default() {
            self.tell(name, event);
        }
        self.tell(name, Event::Tick);
    }

    /// Loses all frames from one host to another.
    pub fn cut(&mut self, from: &HostName, to: &HostName) {
        self.cuts.insert((from.clone(), to.clone()));
    }

    /// Mends all cuts.
    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    /// Tells a host something.
    pub fn tell(&mut self, name: &HostName, event: Event) {
        let Some(host) = self.hosts.get_mut(name) else {
            return;
        };
        if let Some(waiting) = &mut host.frozen {
            return waiting.push(event);
        }
        let started = Instant::now();
        let mut actions = Vec::new();
        host.fleet.handle(self.now, event, &mut actions);
        host.traffic.processor += started.elapsed();
        for action in actions {
            self.perform(name, action);
        }
        self.schedule_tick(name);
    }

    /// Lets time pass.
    pub fn run_until(&mut self, end: Duration) {
        while self.queue.peek().is_some_and(|it| it.0.at <= end) {
            let Some(Reverse(due)) = self.queue.pop() else {
                break;
            };
            self.now = due.at;
            self.happen(due);
        }
        self.now = end;
    }

    /// The hosts that run, frozen ones too.
    pub fn fleets(&self) -> impl Iterator<Item = &Fleet> {
        self.hosts.values().map(|it| &it.fleet)
    }

    /// One host's core.
    #[must_use]
    pub fn fleet(&self, host: &HostName) -> Option<&Fleet> {
        self.hosts.get(host).map(|it| &it.fleet)
    }

    /// One host's core, to ask what needs random numbers.
    pub fn fleet_mut(&mut self, host: &HostName) -> Option<&mut Fleet> {
        self.hosts.get_mut(host).map(|it| &mut it.fleet)
    }

    /// What each host sent and received.
    pub fn traffic(&self) -> impl Iterator<Item = &Traffic> {
        self.hosts.values().map(|it| &it.traffic)
    }

    /// With how many others each host spoke, so how many connections it had.
    pub fn peers(&self) -> impl Iterator<Item = usize> {
        self.hosts.values().map(|it| it.peers.len())
    }

    /// Starts counting anew.
    pub fn reset_traffic(&mut self) {
        for host in self.hosts.values_mut() {
            host.traffic = Traffic::default();
            host.peers.clear();
        }
    }

    fn happen(&mut self, due: Due) {
        let name = due.host;
        match due.what {
            What::Tick => {
                let host = self.hosts.get(&name);
                if host.is_some_and(|it| it.wake == due.at && it.frozen.is_none()) {
                    self.tell(&name, Event::Tick);
                }
            }
            What::Arrive { from, bytes } => self.arrive(&name, from, &bytes),
            What::Read { asked } => {
                let event = self.table.read(&name, asked);
                self.tell(&name, event);
            }
        }
    }

    fn arrive(&mut self, to: &HostName, from: HostName, bytes: &[u8]) {
        let Some(host) = self.hosts.get_mut(to) else {
            return;
        };
        let started = Instant::now();
        let decoded = Frame::decode(bytes);
        host.traffic.processor += started.elapsed();
        host.peers.insert(from.clone());
        if let Ok(frame) = decoded {
            host.traffic.frames_received += 1;
            let acknowledgement = acknowledgement(&frame);
            let len = bytes.len() as u64 + OVERHEAD;
            host.traffic.bytes_received += len;
            host.traffic.bytes_sent += acknowledgement;
            host.traffic.count(&frame, len + acknowledgement);
            self.tell(to, Event::Frame { from, frame });
        }
    }

    fn perform(&mut self, name: &HostName, action: Action) {
        match action {
            Action::Send {
                host,
                address,
                frame,
            } => self.send(name, host, address, &frame),
            Action::Poll => {
                let asked = self.now;
                self.schedule(asked + TABLE_READ, name.clone(), What::Read { asked });
            }
            action => self.observed.push(Observed {
                at: self.now,
                host: name.clone(),
                action,
            }),
        }
    }

    fn send(&mut self, from: &HostName, to: HostName, address: SocketAddr, frame: &Frame) {
        let Some(sender) = self.hosts.get_mut(from) else {
            return;
        };
        let started = Instant::now();
        let encoded = frame.encode();
        sender.traffic.processor += started.elapsed();
        let Ok(bytes) = encoded else { return };
        sender.traffic.frames_sent += 1;
        let len = bytes.len() as u64 + OVERHEAD;
        sender.traffic.bytes_sent += len;
        sender.peers.insert(to.clone());
        sender.traffic.count(frame, len);
        // A host that proves another name at the address is not spoken to.
        let is_there = self.addresses.get(&address) == Some(&to);
        let is_cut = self.cuts.contains(&(from.clone(), to.clone()));
        if !is_there || is_cut || self.rng.random_bool(self.loss) {
            return;
        }
        let Some(delay) = self.delay(from, &to) else {
            return;
        };
        if let Some(sender) = self.hosts.get_mut(from) {
            let acknowledgement = acknowledgement(frame);
            sender.traffic.bytes_received += acknowledgement;
            sender.traffic.count(frame, acknowledgement);
        }
        let from = from.clone();
        self.schedule(self.now + delay, to, What::Arrive { from, bytes });
    }

    fn delay(&self, from: &HostName, to: &HostName) -> Option<Duration> {
        let from = self.hosts.get(from)?.fleet.me();
        let to = self.hosts.get(to)?.fleet.me();
        let delay = if from.data_centre == to.data_centre {
            SAME_DATA_CENTRE
        } else if from.region == to.region {
            SAME_REGION
        } else {
            OTHER_REGION
        };
        Some(delay)
    }

    fn schedule_tick(&mut self, name: &HostName) {
        let Some(host) = self.hosts.get_mut(name) else {
            return;
        };
        let at = host.fleet.deadline().max(self.now);
        if at != host.wake || at == self.now {
            host.wake = at;
            self.schedule(at, name.clone(), What::Tick);
        }
    }

    fn schedule(&mut self, at: Duration, host: HostName, what: What) {
        self.order += 1;
        let order = self.order;
        self.queue.push(Reverse(Due {
            at,
            order,
            host,
            what,
        }));
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}

impl Eq for Due {}
