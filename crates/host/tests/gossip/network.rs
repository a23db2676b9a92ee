//! Simulated network of hosts that run the real gossip state machine, with delays, losses and
//! partitions.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::time::Duration;

use host::Member;
use host::gossip::{
    Comparison, Contact, Digest, GATHER, Gossip, PERIOD, Pulse, RETRY, Record, SPACING, State,
};
use kernel::{HostName, Incarnation};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

const DATA_CENTRES: usize = 6;
/// Range of the delay in milliseconds from send to processing on another host.
const DELAY: [u64; 2] = [1, 12];
/// Time until an unanswered probe is reported as failed.
const UNANSWERED: Duration = Duration::from_millis(500);
/// Bytes that QUIC, UDP and IP add to a message, including its acknowledgement.
const OVERHEAD: usize = 68 + 64;

pub(crate) struct Network {
    pub(crate) now: Duration,
    pub(crate) hosts: Vec<Host>,
    pub(crate) lost_in_hundred: u32,
    queue: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    messages: HashMap<u64, Message>,
    number: u64,
    rng: Pcg32,
}

pub(crate) struct Host {
    pub(crate) gossip: Gossip,
    pub(crate) is_up: bool,
    /// Hosts can only reach hosts with the same value.
    pub(crate) part: usize,
    /// A value that gossip spreads; hosts keep the highest one.
    pub(crate) version: u64,
    pub(crate) bytes: usize,
    pub(crate) met: HashSet<HostName>,
    life: u64,
    is_hurried: bool,
    told: Duration,
    member: Member,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Pulse(usize, u64),
    Hurry(usize, u64),
    Watch(usize, u64),
    Retry(usize, u64),
    Arrive(usize),
    Unanswered(usize, usize),
}

enum Message {
    Pulse(usize, Pulse, u64),
    Ask(usize),
    Answer(usize),
    Compare(usize, Digest),
    Compared(usize, Comparison),
    Records(Vec<Record>),
}

impl Network {
    /// Creates a number of hosts; [`Self::start`] starts them.
    pub(crate) fn new(hosts: usize, seed: u64) -> Self {
        let mut network = Self {
            now: Duration::from_secs(1),
            hosts: Vec::new(),
            lost_in_hundred: 5,
            queue: BinaryHeap::new(),
            messages: HashMap::new(),
            number: 0,
            rng: Pcg32::seed_from_u64(seed),
        };
        for nr in 0..hosts {
            let member = member(nr);
            network.hosts.push(Host {
                gossip: Gossip::new(member.clone(), Incarnation(1), network.now),
                is_up: false,
                part: 0,
                version: 0,
                bytes: 0,
                met: HashSet::new(),
                life: 0,
                is_hurried: false,
                told: Duration::ZERO,
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
        host.life += 1;
        host.is_up = true;
        host.is_hurried = false;
        host.version = 0;
        let incarnation = Incarnation(u64::try_from(now.as_nanos()).unwrap());
        host.gossip = Gossip::new(host.member.clone(), incarnation, now);
        host.gossip.list(now, listing);
        host.gossip.set_state(now, State::Ready);
        let life = host.life;
        let lot = self.rng.random_range(0..500);
        self.schedule(Duration::ZERO, Event::Pulse(nr, life));
        self.schedule(Duration::from_millis(100), Event::Watch(nr, life));
        self.schedule(Duration::from_millis(lot), Event::Retry(nr, life));
    }

    /// Starts all hosts within 0.3 s; each finds the entries of those before it in the listing.
    pub(crate) fn start_all(&mut self) {
        let count = self.hosts.len();
        let pause = Duration::from_millis(300).div_f64(f64::from(u32::try_from(count).unwrap()));
        for nr in 0..count {
            // A new entry takes about 8 ms to become visible.
            let listed: Vec<usize> = (0..nr.saturating_sub(8)).collect();
            self.start(nr, &listed);
            self.run(pause);
        }
        // The first hosts found no others and read the listing again.
        let all: Vec<Member> = (0..count).map(member).collect();
        let now = self.now;
        for host in self.hosts.iter_mut().take(8) {
            host.gossip.list(now, all.clone());
        }
    }

    pub(crate) fn kill(&mut self, nr: usize) {
        self.hosts[nr].is_up = false;
        self.hosts[nr].life += 1;
    }

    /// Gives a host a newer version to spread.
    pub(crate) fn learn(&mut self, nr: usize, version: u64) {
        self.hosts[nr].version = version;
        self.hurry(nr);
    }

    /// Advances the simulation.
    pub(crate) fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(Reverse((at, _, _))) = self.queue.peek()
            && *at <= end
        {
            let Reverse((at, number, event)) = self.queue.pop().unwrap();
            self.now = at;
            self.handle(number, event);
        }
        self.now = end;
    }

    /// Runs until `check` is true of all running hosts, and returns the time taken.
    pub(crate) fn until(
        &mut self,
        what: &str,
        most: Duration,
        check: impl Fn(&Host) -> bool,
    ) -> Duration {
        let began = self.now;
        while !self.up().all(&check) {
            let missing = self.up().filter(|it| !check(it)).count();
            assert!(
                self.now.saturating_sub(began) < most,
                "not within {most:?}: {what} (false for {missing} hosts)"
            );
            self.run(Duration::from_millis(10));
        }
        self.now.saturating_sub(began)
    }

    pub(crate) fn up(&self) -> impl Iterator<Item = &Host> {
        self.hosts.iter().filter(|it| it.is_up)
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.number += 1;
        let at = self.now + after;
        self.queue.push(Reverse((at, self.number, event)));
    }

    fn handle(&mut self, number: u64, event: Event) {
        let is_current = |nr: usize, life: u64| self.hosts[nr].life == life;
        match event {
            Event::Pulse(nr, life) if is_current(nr, life) => {
                self.pulse(nr);
                self.schedule(PERIOD, event);
            }
            Event::Hurry(nr, life) if is_current(nr, life) => {
                self.hosts[nr].is_hurried = false;
                self.pulse(nr);
            }
            Event::Watch(nr, life) if is_current(nr, life) => {
                self.watch(nr);
                self.schedule(Duration::from_millis(100), event);
            }
            Event::Retry(nr, life) if is_current(nr, life) => {
                let lot = self.rng.random();
                if let Some(it) = self.hosts[nr].gossip.lost(lot) {
                    let digest = self.hosts[nr].gossip.digest();
                    self.send(nr, number_of(&it.name), Message::Compare(nr, digest));
                }
                self.schedule(RETRY, event);
            }
            Event::Arrive(nr) => {
                if let Some(message) = self.messages.remove(&number)
                    && self.hosts[nr].is_up
                {
                    self.take(nr, message);
                }
            }
            Event::Unanswered(nr, other) => {
                let now = self.now;
                let host = &mut self.hosts[nr];
                if host.gossip.unanswered(now, &name(other), Contact::Lost) {
                    self.hurry(nr);
                }
            }
            _ => {}
        }
    }

    fn pulse(&mut self, nr: usize) {
        self.hosts[nr].told = self.now;
        let pulse = self.hosts[nr].gossip.pulse(self.now);
        let version = self.hosts[nr].version;
        let audience = self.hosts[nr].gossip.audience();
        for it in audience {
            self.hosts[nr].met.insert(it.name.clone());
            let message = Message::Pulse(nr, pulse.clone(), version);
            self.send(nr, number_of(&it.name), message);
        }
    }

    fn watch(&mut self, nr: usize) {
        for it in self.hosts[nr].gossip.suspects(self.now) {
            let other = number_of(&it.name);
            self.send(nr, other, Message::Ask(nr));
            self.schedule(UNANSWERED, Event::Unanswered(nr, other));
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let size = message.size();
        self.hosts[from].bytes += size;
        if self.hosts[from].part != self.hosts[to].part || !self.hosts[to].is_up {
            return;
        }
        // Only datagrams are lost for good; streams retransmit.
        let is_datagram = matches!(message, Message::Pulse(..)) && size < 1_200;
        if is_datagram && self.rng.random_range(0..100) < self.lost_in_hundred {
            return;
        }
        self.hosts[to].bytes += size;
        let delay = self.rng.random_range(DELAY[0]..DELAY[1]);
        self.schedule(Duration::from_millis(delay), Event::Arrive(to));
        self.messages.insert(self.number, message);
    }

    fn take(&mut self, nr: usize, message: Message) {
        let now = self.now;
        let gossip = &mut self.hosts[nr].gossip;
        match message {
            Message::Pulse(from, pulse, version) => {
                let heard = gossip.hear(now, &name(from), &pulse);
                let is_later = version > self.hosts[nr].version;
                self.hosts[nr].version = self.hosts[nr].version.max(version);
                if heard.is_news || is_later {
                    self.hurry(nr);
                }
                if heard.differs {
                    let digest = self.hosts[nr].gossip.digest();
                    self.send(nr, from, Message::Compare(nr, digest));
                }
            }
            Message::Ask(from) => self.send(nr, from, Message::Answer(nr)),
            Message::Answer(from) => gossip.answered(now, &name(from)),
            Message::Compare(from, digest) => {
                let comparison = gossip.compare(&digest);
                self.send(nr, from, Message::Compared(nr, comparison));
            }
            Message::Compared(from, comparison) => {
                let (wanted, is_news) = gossip.settle(now, &comparison);
                self.send(nr, from, Message::Records(wanted));
                if is_news {
                    self.hurry(nr);
                }
            }
            Message::Records(records) => {
                if gossip.merge(now, &records) {
                    self.hurry(nr);
                }
            }
        }
    }

    fn hurry(&mut self, nr: usize) {
        let host = &mut self.hosts[nr];
        if !std::mem::replace(&mut host.is_hurried, true) {
            let life = host.life;
            let earliest = (host.told + SPACING).max(self.now + GATHER);
            self.schedule(earliest.saturating_sub(self.now), Event::Hurry(nr, life));
        }
    }
}

impl Message {
    fn size(&self) -> usize {
        let payload = match self {
            // Adds the configuration version and the ages that a real update carries.
            Self::Pulse(_, pulse, _) => postcard::to_stdvec(pulse).unwrap().len() + 60,
            Self::Compare(_, digest) => postcard::to_stdvec(digest).unwrap().len(),
            Self::Compared(_, it) => postcard::to_stdvec(it).unwrap().len(),
            Self::Records(it) => postcard::to_stdvec(it).unwrap().len(),
            Self::Ask(_) | Self::Answer(_) => 8,
        };
        payload + OVERHEAD
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
    }
}
