//! Simulated network of hosts that run the real gossip state machine, with delays, losses and
//! partitions.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::time::Duration;

use host::gossip::{
    BATCH_DELAY, Comparison, Contact, Digest, GOSSIP_INTERVAL, Gossip, MIN_GOSSIP_INTERVAL,
    MembershipUpdate, RECONNECT_INTERVAL, Record, State,
};
use host::{Capacity, Member};
use kernel::{HostName, Incarnation};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

const DATA_CENTRES: usize = 6;
/// Range of the delay in milliseconds from send to processing on another host.
const DELAY_MS: [u64; 2] = [1, 12];
/// Time until an unanswered probe is reported as failed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Bytes that QUIC, UDP and IP add to a message, including its acknowledgement.
const OVERHEAD_BYTES: usize = 68 + 64;

pub(crate) struct Network {
    pub(crate) now: Duration,
    pub(crate) hosts: Vec<Host>,
    pub(crate) loss_percent: u32,
    queue: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    messages: HashMap<u64, Message>,
    sequence: u64,
    rng: Pcg32,
}

pub(crate) struct Host {
    pub(crate) gossip: Gossip,
    pub(crate) is_running: bool,
    /// Hosts can only reach hosts with the same value.
    pub(crate) partition: usize,
    /// A value that gossip spreads; hosts keep the highest one.
    pub(crate) version: u64,
    pub(crate) bytes: usize,
    pub(crate) contacted: HashSet<HostName>,
    run: u64,
    is_update_scheduled: bool,
    last_update: Duration,
    member: Member,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Update(usize, u64),
    EarlyUpdate(usize, u64),
    CheckSuspects(usize, u64),
    Reconnect(usize, u64),
    Deliver(usize),
    ProbeTimeout(usize, usize),
}

enum Message {
    Update(usize, MembershipUpdate, u64),
    Ping(usize),
    Pong(usize),
    Compare(usize, Digest),
    ComparisonResult(usize, Comparison),
    Records(Vec<Record>),
}

impl Network {
    /// Creates a number of hosts; [`Self::start`] starts them.
    pub(crate) fn new(hosts: usize, seed: u64) -> Self {
        let mut network = Self {
            now: Duration::from_secs(1),
            hosts: Vec::new(),
            loss_percent: 5,
            queue: BinaryHeap::new(),
            messages: HashMap::new(),
            sequence: 0,
            rng: Pcg32::seed_from_u64(seed),
        };
        for nr in 0..hosts {
            let member = member(nr);
            network.hosts.push(Host {
                gossip: Gossip::new(member.clone(), Incarnation(1), network.now),
                is_running: false,
                partition: 0,
                version: 0,
                bytes: 0,
                contacted: HashSet::new(),
                run: 0,
                is_update_scheduled: false,
                last_update: Duration::ZERO,
                member,
            });
        }
        network
    }

    /// Starts a host that finds the hosts `listed` in the store.
    pub(crate) fn start(&mut self, nr: usize, listed: &[usize]) {
        let now = self.now;
        let listing = listed.iter().map(|&it| member(it)).collect();
        let host = &mut self.hosts[nr];
        host.run += 1;
        host.is_running = true;
        host.is_update_scheduled = false;
        host.version = 0;
        let incarnation = Incarnation(u64::try_from(now.as_nanos()).unwrap());
        host.gossip = Gossip::new(host.member.clone(), incarnation, now);
        host.gossip.add_listed(now, listing);
        host.gossip.set_state(now, State::Ready);
        let run = host.run;
        let random = self.rng.random_range(0..500);
        self.schedule(Duration::ZERO, Event::Update(nr, run));
        self.schedule(Duration::from_millis(100), Event::CheckSuspects(nr, run));
        self.schedule(Duration::from_millis(random), Event::Reconnect(nr, run));
    }

    /// Starts all hosts within 0.3 s; each finds the entries of those before it in the listing.
    pub(crate) fn start_all(&mut self) {
        let count = self.hosts.len();
        let pause = Duration::from_millis(300).div_f64(f64::from(u32::try_from(count).unwrap()));
        for nr in 0..count {
            // The last eight entries aren't visible yet.
            let listed: Vec<usize> = (0..nr.saturating_sub(8)).collect();
            self.start(nr, &listed);
            self.run(pause);
        }
        // The first hosts found no others and read the listing again.
        let all: Vec<Member> = (0..count).map(member).collect();
        let now = self.now;
        for host in self.hosts.iter_mut().take(8) {
            host.gossip.add_listed(now, all.clone());
        }
    }

    pub(crate) fn kill(&mut self, nr: usize) {
        self.hosts[nr].is_running = false;
        self.hosts[nr].run += 1;
    }

    /// Gives a host a newer version to spread.
    pub(crate) fn set_version(&mut self, nr: usize, version: u64) {
        self.hosts[nr].version = version;
        self.schedule_update(nr);
    }

    /// Advances the simulation.
    pub(crate) fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(Reverse((at, _, _))) = self.queue.peek()
            && *at <= end
        {
            let Reverse((at, sequence, event)) = self.queue.pop().unwrap();
            self.now = at;
            self.handle(sequence, event);
        }
        self.now = end;
    }

    /// Runs until `check` is true of all running hosts, and returns the time taken. Panics
    /// after `limit`.
    pub(crate) fn run_until(
        &mut self,
        condition: &str,
        limit: Duration,
        check: impl Fn(&Host) -> bool,
    ) -> Duration {
        let began = self.now;
        while !self.running().all(&check) {
            let missing = self.running().filter(|it| !check(it)).count();
            assert!(
                self.now.saturating_sub(began) < limit,
                "not within {limit:?}: {condition} (false for {missing} hosts)"
            );
            self.run(Duration::from_millis(10));
        }
        self.now.saturating_sub(began)
    }

    pub(crate) fn running(&self) -> impl Iterator<Item = &Host> {
        self.hosts.iter().filter(|it| it.is_running)
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.sequence += 1;
        let at = self.now + after;
        self.queue.push(Reverse((at, self.sequence, event)));
    }

    fn handle(&mut self, sequence: u64, event: Event) {
        let is_current = |nr: usize, run: u64| self.hosts[nr].run == run;
        match event {
            Event::Update(nr, run) if is_current(nr, run) => {
                self.send_update(nr);
                self.schedule(GOSSIP_INTERVAL, event);
            }
            Event::EarlyUpdate(nr, run) if is_current(nr, run) => {
                self.hosts[nr].is_update_scheduled = false;
                self.send_update(nr);
            }
            Event::CheckSuspects(nr, run) if is_current(nr, run) => {
                self.check_suspects(nr);
                self.schedule(Duration::from_millis(100), event);
            }
            Event::Reconnect(nr, run) if is_current(nr, run) => {
                let random = self.rng.random();
                if let Some(it) = self.hosts[nr].gossip.reconnect_candidate(random) {
                    let digest = self.hosts[nr].gossip.digest();
                    self.send(nr, number_of(&it.name), Message::Compare(nr, digest));
                }
                self.schedule(RECONNECT_INTERVAL, event);
            }
            Event::Deliver(nr) => {
                if let Some(message) = self.messages.remove(&sequence)
                    && self.hosts[nr].is_running
                {
                    self.receive(nr, message);
                }
            }
            Event::ProbeTimeout(nr, other) => {
                let now = self.now;
                let host = &mut self.hosts[nr];
                if host.gossip.probe_failed(now, &name(other), Contact::Lost) {
                    self.schedule_update(nr);
                }
            }
            _ => {}
        }
    }

    fn send_update(&mut self, nr: usize) {
        self.hosts[nr].last_update = self.now;
        let update = self.hosts[nr].gossip.next_update(self.now);
        let version = self.hosts[nr].version;
        let recipients = self.hosts[nr].gossip.recipients();
        for it in recipients {
            self.hosts[nr].contacted.insert(it.name.clone());
            let message = Message::Update(nr, update.clone(), version);
            self.send(nr, number_of(&it.name), message);
        }
        for it in self.hosts[nr].gossip.take_returned(self.now) {
            let digest = self.hosts[nr].gossip.digest();
            self.send(nr, number_of(&it.name), Message::Compare(nr, digest));
        }
    }

    fn check_suspects(&mut self, nr: usize) {
        for it in self.hosts[nr].gossip.suspects(self.now) {
            let other = number_of(&it.name);
            self.send(nr, other, Message::Ping(nr));
            self.schedule(PROBE_TIMEOUT, Event::ProbeTimeout(nr, other));
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let size = message.size();
        self.hosts[from].bytes += size;
        if self.hosts[from].partition != self.hosts[to].partition || !self.hosts[to].is_running {
            return;
        }
        // Only datagrams are lost for good; streams retransmit.
        let is_datagram = matches!(message, Message::Update(..)) && size < 1_200;
        if is_datagram && self.rng.random_range(0..100) < self.loss_percent {
            return;
        }
        self.hosts[to].bytes += size;
        let delay = self.rng.random_range(DELAY_MS[0]..DELAY_MS[1]);
        self.schedule(Duration::from_millis(delay), Event::Deliver(to));
        self.messages.insert(self.sequence, message);
    }

    fn receive(&mut self, nr: usize, message: Message) {
        let now = self.now;
        let gossip = &mut self.hosts[nr].gossip;
        match message {
            Message::Update(from, update, version) => {
                let outcome = gossip.receive(now, &name(from), &update);
                let is_later = version > self.hosts[nr].version;
                self.hosts[nr].version = self.hosts[nr].version.max(version);
                if outcome.has_changes || is_later {
                    self.schedule_update(nr);
                }
                if outcome.needs_comparison {
                    let digest = self.hosts[nr].gossip.digest();
                    self.send(nr, from, Message::Compare(nr, digest));
                }
            }
            Message::Ping(from) => self.send(nr, from, Message::Pong(nr)),
            Message::Pong(from) => gossip.mark_alive(now, &name(from)),
            Message::Compare(from, digest) => {
                let comparison = gossip.compare(&digest);
                self.send(nr, from, Message::ComparisonResult(nr, comparison));
            }
            Message::ComparisonResult(from, comparison) => {
                let (wanted, has_changes) = gossip.apply_comparison(now, &comparison);
                self.send(nr, from, Message::Records(wanted));
                if has_changes {
                    self.schedule_update(nr);
                }
            }
            Message::Records(records) => {
                if gossip.merge(now, &records) {
                    self.schedule_update(nr);
                }
            }
        }
    }

    fn schedule_update(&mut self, nr: usize) {
        let host = &mut self.hosts[nr];
        if !std::mem::replace(&mut host.is_update_scheduled, true) {
            let run = host.run;
            let earliest = (host.last_update + MIN_GOSSIP_INTERVAL).max(self.now + BATCH_DELAY);
            self.schedule(
                earliest.saturating_sub(self.now),
                Event::EarlyUpdate(nr, run),
            );
        }
    }
}

impl Message {
    fn size(&self) -> usize {
        let payload = match self {
            // Adds the configuration version and the ages that a real update carries.
            Self::Update(_, update, _) => postcard::to_stdvec(update).unwrap().len() + 60,
            Self::Compare(_, digest) => postcard::to_stdvec(digest).unwrap().len(),
            Self::ComparisonResult(_, it) => postcard::to_stdvec(it).unwrap().len(),
            Self::Records(it) => postcard::to_stdvec(it).unwrap().len(),
            Self::Ping(_) | Self::Pong(_) => 8,
        };
        payload + OVERHEAD_BYTES
    }
}

pub(crate) fn name(nr: usize) -> HostName {
    HostName::from(format!("edge-dc{}-{nr:04}", nr % DATA_CENTRES))
}

fn number_of(name: &HostName) -> usize {
    let text = name.as_str();
    text[text.len() - 4..].parse().unwrap()
}

pub(crate) fn data_centre(nr: usize) -> usize {
    nr % DATA_CENTRES
}

fn member(nr: usize) -> Member {
    let at = |port| {
        format!("10.{}.0.{}:{port}", 1 + nr / 250, 1 + nr % 250)
            .parse()
            .unwrap()
    };
    Member {
        name: name(nr),
        front: at(8_227),
        link: at(7_340),
        data_centre: format!("dc-{}", nr % DATA_CENTRES).into(),
        region: "here".into(),
        capacity: Capacity::default(),
    }
}
