//! A simulated fleet whose hosts read the store and send each other the properties of their
//! listings.

use std::time::Duration;

use host::{Coverage, ListingMeta, Stall, shortest_outage, succession};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use route::Revision;
use route::directory::Absence;

pub(crate) const HOSTS: usize = 6;
const STEP: u64 = 10;
const READ_INTERVAL: u64 = 1_000;
/// The age of a listing at which hosts read for themselves.
const READ_AGE: u64 = 1_250;
const UPDATE_INTERVAL: u64 = 500;
/// Range of the time that an update takes to another host.
const TRANSFER_TIME: [u64; 2] = [2, 20];

/// A span of time in milliseconds.
#[derive(Clone, Copy, Default)]
pub(crate) struct Span {
    from: u64,
    to: u64,
}

impl Span {
    pub(crate) fn from_now(fleet: &Fleet, length: u64) -> Self {
        Self {
            from: fleet.now,
            to: fleet.now + length,
        }
    }

    fn has(self, now: u64) -> bool {
        (self.from..self.to).contains(&now)
    }
}

pub(crate) struct Host {
    /// The time in which it reaches neither the store nor other hosts.
    pub(crate) cut: Span,
    /// The time in which its process stands still; what arrives waits.
    pub(crate) stall: Span,
    /// When it loses its state and starts again.
    pub(crate) restart: Option<u64>,
    listing: Option<ListingMeta>,
    detector: Stall,
    next_update: u64,
}

struct Message {
    arrives: u64,
    to: usize,
    age: Duration,
    listing: ListingMeta,
}

pub(crate) struct Fleet {
    pub(crate) hosts: Vec<Host>,
    /// The time in which the store answers nobody.
    pub(crate) outage: Span,
    now: u64,
    revision: u64,
    messages: Vec<Message>,
    rng: Pcg32,
}

impl Fleet {
    /// Creates a fleet that has been running for a while.
    pub(crate) fn settled(seed: u64) -> Self {
        let mut rng = Pcg32::seed_from_u64(seed);
        let host = |nr: u64| Host {
            cut: Span::default(),
            stall: Span::default(),
            restart: None,
            listing: None,
            detector: Stall::new(Duration::ZERO),
            next_update: 80 * nr,
        };
        let mut fleet = Self {
            hosts: (0..HOSTS as u64).map(host).collect(),
            outage: Span::default(),
            now: 0,
            revision: 1,
            messages: Vec::new(),
            rng: Pcg32::seed_from_u64(seed),
        };
        fleet.run_until(8_000 + rng.random_range(0..1_000), |_| {});
        fleet
    }

    pub(crate) fn now(&self) -> u64 {
        self.now
    }

    pub(crate) fn absence(&self, nr: usize) -> Absence {
        self.hosts[nr].listing.unwrap().absence()
    }

    /// Returns the listings of the hosts that have one.
    pub(crate) fn listings(&self) -> impl Iterator<Item = (usize, ListingMeta)> {
        let listings = self.hosts.iter().enumerate();
        listings.filter_map(|(nr, it)| Some((nr, it.listing?)))
    }

    /// Runs until a time, with a check after each step.
    pub(crate) fn run_until(&mut self, end: u64, check: impl Fn(&Self)) {
        while self.now < end {
            self.step();
            check(self);
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        self.revision += 1;
        for nr in 0..HOSTS {
            if self.hosts[nr].restart.is_some_and(|it| it <= self.now) {
                self.hosts[nr].restart = None;
                self.hosts[nr].listing = None;
            }
            if !self.hosts[nr].stall.has(self.now) {
                self.run_host(nr);
            }
        }
    }

    /// Has a host receive, read and send. What a process that stood still finds first when it
    /// runs again isn't determined: it receives before it notices the time.
    fn run_host(&mut self, nr: usize) {
        let now = Duration::from_millis(self.now);
        let (arrived, rest) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition(|it| it.to == nr && it.arrives <= self.now);
        self.messages = rest;
        let is_reached = !self.hosts[nr].cut.has(self.now);
        let arrived: Vec<Message> = arrived;
        for it in arrived.into_iter().filter(|_| is_reached) {
            self.receive(nr, now, &it);
        }
        self.hosts[nr].detector.tick(now);
        if is_reached && !self.outage.has(self.now) && self.is_due(nr, now) {
            let read = ListingMeta {
                coverage: Coverage::of_reading(now),
                fingerprint: 0,
                revision: self.store_revision(),
            };
            self.put_in_use(nr, read);
            self.hosts[nr].next_update = self.now;
        }
        if is_reached && self.hosts[nr].next_update <= self.now {
            self.hosts[nr].next_update = self.now + UPDATE_INTERVAL;
            self.send(nr, now);
        }
    }

    fn store_revision(&self) -> Revision {
        Revision {
            era: 0,
            version: self.revision,
        }
    }

    fn is_due(&self, nr: usize, now: Duration) -> bool {
        let Some(listing) = self.hosts[nr].listing else {
            return true;
        };
        let doubtful = listing.coverage.doubtful_until().filter(|_| nr == 0);
        let age = match nr {
            0 => Duration::from_millis(READ_INTERVAL),
            1 => Duration::from_millis(READ_INTERVAL).mul_f64(1.15),
            _ => Duration::from_millis(READ_AGE) + succession::read_delay(nr),
        };
        now >= listing.at() + age || doubtful.is_some_and(|it| now >= it)
    }

    fn put_in_use(&mut self, nr: usize, listing: ListingMeta) {
        let shortest = shortest_outage(Duration::from_millis(1_200));
        let own = &mut self.hosts[nr].listing;
        *own = Some(match *own {
            None => listing,
            Some(own) if listing.supersedes(&own) => listing.extended_by(&own, shortest),
            Some(own) => own.extended_by(&listing, shortest),
        });
    }

    fn receive(&mut self, nr: usize, now: Duration, message: &Message) {
        if !self.hosts[nr].detector.possible_delay(now).is_zero() {
            return;
        }
        let length = message.listing.coverage.length();
        let coverage = Coverage::of_report(now, now, message.age, length);
        self.put_in_use(
            nr,
            ListingMeta {
                coverage,
                ..message.listing
            },
        );
    }

    fn send(&mut self, from: usize, now: Duration) {
        let Some(listing) = self.hosts[from].listing else {
            return;
        };
        let age = now.saturating_sub(listing.at());
        for to in (0..HOSTS).filter(|it| *it != from) {
            if self.hosts[to].cut.has(self.now) {
                continue;
            }
            let [least, most] = TRANSFER_TIME;
            let arrives = self.now + self.rng.random_range(least..=most);
            self.messages.push(Message {
                arrives,
                to,
                age,
                listing,
            });
        }
    }
}
