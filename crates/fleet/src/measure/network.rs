//! A simulated network: the cores of many hosts in one process, with an event
//! queue and a virtual clock.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use kernel::HostName;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use wire::{Frame, Member};

use crate::measure::traffic::{FRAME_OVERHEAD_BYTES, acknowledgement_bytes};
use crate::measure::{Table, Traffic};
use crate::{Action, Event, Fleet, Tuning};

/// One-way delay within a data centre.
const SAME_DATA_CENTRE_DELAY: Duration = Duration::from_micros(500);

/// One-way delay between two data centres of a region.
const SAME_REGION_DELAY: Duration = Duration::from_millis(2);

/// One-way delay between two regions.
const OTHER_REGION_DELAY: Duration = Duration::from_millis(60);

/// Round-trip time of a read of the table.
const TABLE_READ_TIME: Duration = Duration::from_millis(6);

/// A simulated fleet on a virtual clock.
pub struct Network {
    now: Duration,
    tuning: Tuning,
    rng: Pcg64,
    order: u64,
    queue: BinaryHeap<Reverse<Scheduled>>,
    hosts: BTreeMap<HostName, Host>,
    addresses: BTreeMap<SocketAddr, HostName>,
    cuts: BTreeSet<(HostName, HostName)>,
    /// The probability that a frame is lost.
    pub loss: f64,
    /// The table from which hosts poll the configuration.
    pub table: Table,
    /// The actions of all hosts except frames and polls, in the order they occurred.
    /// The user of the network clears them.
    pub observed: Vec<Observed>,
}

/// An action that a host requested.
#[derive(Debug)]
pub struct Observed {
    /// The virtual time of the action.
    pub at: Duration,
    /// The host that requested it.
    pub host: HostName,
    /// The action.
    pub action: Action,
}

struct Host {
    fleet: Fleet,
    traffic: Traffic,
    /// Hosts to or from which frames went since counting began.
    peers: BTreeSet<HostName>,
    /// Events queued while the process is frozen; `None` if it runs.
    frozen: Option<Vec<Event>>,
    /// Time of the next tick. Queued ticks with another time are stale and skipped.
    next_tick: Duration,
}

struct Scheduled {
    at: Duration,
    order: u64,
    host: HostName,
    task: Task,
}

enum Task {
    Tick,
    Arrive { from: HostName, bytes: Vec<u8> },
    Read { asked: Duration },
}

impl Network {
    /// Creates a network without hosts.
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

    /// Starts a host. It replaces a running host of the same name.
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
            next_tick: self.now,
        };
        self.hosts.insert(name.clone(), host);
        self.schedule(self.now, name, Task::Tick);
    }

    /// Kills a host without notifying its peers.
    pub fn kill(&mut self, host: &HostName) {
        self.hosts.remove(host);
    }

    /// Freezes a host's process. Events that arrive meanwhile are queued.
    pub fn freeze(&mut self, host: &HostName) {
        if let Some(host) = self.hosts.get_mut(host) {
            host.frozen.get_or_insert_default();
        }
    }

    /// Resumes a frozen host and delivers its queued events.
    pub fn wake(&mut self, name: &HostName) {
        let Some(host) = self.hosts.get_mut(name) else {
            return;
        };
        for event in host.frozen.take().unwrap_or_default() {
            self.deliver(name, event);
        }
        self.deliver(name, Event::Tick);
    }

    /// Drops all frames from one host to another, until [`Self::heal`].
    pub fn cut(&mut self, from: &HostName, to: &HostName) {
        self.cuts.insert((from.clone(), to.clone()));
    }

    /// Removes all cuts.
    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    /// Delivers an event to a host and performs the resulting actions.
    pub fn deliver(&mut self, name: &HostName, event: Event) {
        let Some(host) = self.hosts.get_mut(name) else {
            return;
        };
        if let Some(queued) = &mut host.frozen {
            return queued.push(event);
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

    /// Advances the virtual clock to `end` and runs all tasks due until then.
    pub fn run_until(&mut self, end: Duration) {
        while self.queue.peek().is_some_and(|it| it.0.at <= end) {
            let Some(Reverse(scheduled)) = self.queue.pop() else {
                break;
            };
            self.now = scheduled.at;
            self.run_task(scheduled);
        }
        self.now = end;
    }

    /// The cores of all running hosts, including frozen ones.
    pub fn fleets(&self) -> impl Iterator<Item = &Fleet> {
        self.hosts.values().map(|it| &it.fleet)
    }

    /// Returns the core of a running host.
    #[must_use]
    pub fn fleet(&self, host: &HostName) -> Option<&Fleet> {
        self.hosts.get(host).map(|it| &it.fleet)
    }

    /// Returns the core of a running host, for queries that draw random numbers.
    pub fn fleet_mut(&mut self, host: &HostName) -> Option<&mut Fleet> {
        self.hosts.get_mut(host).map(|it| &mut it.fleet)
    }

    /// The traffic of each running host since counting began.
    pub fn traffic(&self) -> impl Iterator<Item = &Traffic> {
        self.hosts.values().map(|it| &it.traffic)
    }

    /// The number of peers of each host, which is its number of connections.
    pub fn peers(&self) -> impl Iterator<Item = usize> {
        self.hosts.values().map(|it| it.peers.len())
    }

    /// Resets the counts of traffic and peers.
    pub fn reset_traffic(&mut self) {
        for host in self.hosts.values_mut() {
            host.traffic = Traffic::default();
            host.peers.clear();
        }
    }

    fn run_task(&mut self, scheduled: Scheduled) {
        let name = scheduled.host;
        match scheduled.task {
            Task::Tick => {
                let host = self.hosts.get(&name);
                if host.is_some_and(|it| it.next_tick == scheduled.at && it.frozen.is_none()) {
                    self.deliver(&name, Event::Tick);
                }
            }
            Task::Arrive { from, bytes } => self.arrive(&name, from, &bytes),
            Task::Read { asked } => {
                let event = self.table.read(&name, asked);
                self.deliver(&name, event);
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
            let acknowledgement_bytes = acknowledgement_bytes(&frame);
            let len = bytes.len() as u64 + FRAME_OVERHEAD_BYTES;
            host.traffic.bytes_received += len;
            host.traffic.bytes_sent += acknowledgement_bytes;
            host.traffic
                .add_frame_bytes(&frame, len + acknowledgement_bytes);
            self.deliver(to, Event::Frame { from, frame });
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
                self.schedule(asked + TABLE_READ_TIME, name.clone(), Task::Read { asked });
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
        let len = bytes.len() as u64 + FRAME_OVERHEAD_BYTES;
        sender.traffic.bytes_sent += len;
        sender.peers.insert(to.clone());
        sender.traffic.add_frame_bytes(frame, len);
        // The connection fails if the host at the address has another name.
        let is_there = self.addresses.get(&address) == Some(&to);
        let is_cut = self.cuts.contains(&(from.clone(), to.clone()));
        if !is_there || is_cut || self.rng.random_bool(self.loss) {
            return;
        }
        let Some(delay) = self.delay(from, &to) else {
            return;
        };
        if let Some(sender) = self.hosts.get_mut(from) {
            let acknowledgement_bytes = acknowledgement_bytes(frame);
            sender.traffic.bytes_received += acknowledgement_bytes;
            sender.traffic.add_frame_bytes(frame, acknowledgement_bytes);
        }
        let from = from.clone();
        self.schedule(self.now + delay, to, Task::Arrive { from, bytes });
    }

    fn delay(&self, from: &HostName, to: &HostName) -> Option<Duration> {
        let from = self.hosts.get(from)?.fleet.me();
        let to = self.hosts.get(to)?.fleet.me();
        let delay = if from.data_centre == to.data_centre {
            SAME_DATA_CENTRE_DELAY
        } else if from.region == to.region {
            SAME_REGION_DELAY
        } else {
            OTHER_REGION_DELAY
        };
        Some(delay)
    }

    fn schedule_tick(&mut self, name: &HostName) {
        let Some(host) = self.hosts.get_mut(name) else {
            return;
        };
        let at = host.fleet.deadline().max(self.now);
        if at != host.next_tick || at == self.now {
            host.next_tick = at;
            self.schedule(at, name.clone(), Task::Tick);
        }
    }

    fn schedule(&mut self, at: Duration, host: HostName, task: Task) {
        self.order += 1;
        let order = self.order;
        self.queue.push(Reverse(Scheduled {
            at,
            order,
            host,
            task,
        }));
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}

impl Eq for Scheduled {}
