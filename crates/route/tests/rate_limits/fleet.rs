//! A simulated fleet before endpoints of which one states a request rate.

use std::time::Duration;

use kernel::HostName;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use route::directory::Absence;
use route::endpoint::Entry;
use route::rate_limit::Report;
use route::{Ending, Peers, RequestRate, Router};

use crate::harness::{entry, request, router};

const STEP: Duration = Duration::from_millis(50);
/// The time after which all hosts were told and the rate must hold.
const TOLD: Duration = Duration::from_secs(3);
const LENGTH: Duration = Duration::from_secs(10);
const WINDOW: Duration = Duration::from_secs(4);
/// The maximum delay of a request on its way.
const MAX_DELAY: Duration = Duration::from_millis(40);
const ENDPOINTS: usize = 4;
/// The number of hosts that a host sends reports to.
const NEIGHBOURS: usize = 6;
/// The interval of a host's updates without changes.
const STEPS_PER_UPDATE: u128 = 10;
/// The index of the endpoint that states a rate.
const LIMITED: usize = 0;

/// A fleet that is told of the rate by the responses to its own requests, and whose hosts send
/// each other reports.
pub(crate) struct Fleet {
    hosts: Vec<Host>,
    rate: f64,
    rng: Pcg32,
    /// The arrival times of requests at the endpoint that states a rate.
    arrivals: Vec<Duration>,
    /// Reports on their way, each with its receiver.
    reports: Vec<(usize, Vec<Report>)>,
    /// Whether the first half of the hosts and the second one don't reach each other.
    is_partitioned: bool,
    endpoints: usize,
    now: Duration,
}

struct Host {
    router: Router,
    /// The difference of its clock.
    clock: Duration,
    /// The hosts that it sends reports to.
    neighbours: Vec<usize>,
}

impl Fleet {
    pub(crate) fn new(hosts: usize, rate: f64, seed: u64) -> Self {
        Self::with_endpoints(ENDPOINTS, hosts, rate, seed)
    }

    pub(crate) fn with_endpoints(endpoints: usize, hosts: usize, rate: f64, seed: u64) -> Self {
        let mut rng = Pcg32::seed_from_u64(seed);
        let names: Vec<HostName> = (0..hosts).map(name).collect();
        let hosts = names.iter().map(|own| {
            let mut router = router(None, rng.random());
            let clock = Duration::from_secs_f64(100.0 * rng.random::<f64>());
            router.update_listing(clock, entries(endpoints), Absence::Gone);
            router.set_peers(Some(Peers::new(own, names.iter())));
            let neighbour = |_| rng.random_range(0..names.len());
            Host {
                router,
                clock,
                neighbours: (0..NEIGHBOURS).map(neighbour).collect(),
            }
        });
        Self {
            hosts: hosts.collect(),
            rate,
            rng,
            arrivals: Vec::new(),
            reports: Vec::new(),
            is_partitioned: false,
            endpoints,
            now: Duration::ZERO,
        }
    }

    /// Plays [`LENGTH`] in which every host has more requests than the endpoint takes.
    pub(crate) fn run(&mut self) {
        self.run_for(LENGTH, |_| true);
    }

    /// Plays some time in which the hosts have requests that `has_requests` selects.
    pub(crate) fn run_for(&mut self, time: Duration, has_requests: impl Fn(usize) -> bool) {
        let until = self.now + time;
        while self.now < until {
            self.deliver_reports();
            for nr in (0..self.hosts.len()).filter(|it| has_requests(*it)) {
                self.send(self.now, nr);
            }
            for nr in 0..self.hosts.len() {
                self.send_reports(nr);
            }
            self.now += STEP;
        }
    }

    /// Sets the rate that the endpoint states; zero if it states none.
    pub(crate) fn set_rate(&mut self, rate: f64) {
        self.rate = rate;
    }

    /// Drops reports between the two halves of the fleet from now on.
    pub(crate) fn partition(&mut self) {
        self.is_partitioned = true;
    }

    /// Makes the hosts of each half forget those of the other one, as after a long partition.
    pub(crate) fn forget_other_half(&mut self) {
        let names: Vec<HostName> = (0..self.hosts.len()).map(name).collect();
        let half = names.len() / 2;
        for (nr, host) in self.hosts.iter_mut().enumerate() {
            let side = if nr < half {
                &names[..half]
            } else {
                &names[half..]
            };
            host.router
                .set_peers(Some(Peers::new(&names[nr], side.iter())));
        }
    }

    /// Restarts the first `count` hosts, which lose what they were told. Each gets the state of a
    /// host that ran on before it has the listing.
    pub(crate) fn restart(&mut self, count: usize) {
        let names: Vec<HostName> = (0..self.hosts.len()).map(name).collect();
        let told = self.hosts.last().map(|it| {
            let now = it.clock + self.now;
            it.router.all_rate_limit_reports(now)
        });
        let told = told.unwrap_or_default();
        for (nr, host) in self.hosts.iter_mut().enumerate().take(count) {
            host.router = router(None, self.rng.random());
            let now = host.clock + self.now;
            host.router.apply_rate_limit_reports(now, &told);
            host.router
                .update_listing(now, entries(self.endpoints), Absence::Gone);
            host.router
                .set_peers(Some(Peers::new(&names[nr], names.iter())));
        }
    }

    /// Forgets the requests so far.
    pub(crate) fn clear(&mut self) {
        self.arrivals.clear();
    }

    pub(crate) fn requests(&self) -> usize {
        self.arrivals.len()
    }

    /// Sends a host's reports at its interval, and at once after a change.
    fn send_reports(&mut self, nr: usize) {
        let host = &mut self.hosts[nr];
        let steps = self.now.as_millis() / STEP.as_millis();
        let is_due = (steps + nr as u128).is_multiple_of(STEPS_PER_UPDATE);
        if !host.router.take_rate_limit_news() && !is_due {
            return;
        }
        let reports = host.router.rate_limit_reports(host.clock + self.now);
        if reports.is_empty() {
            return;
        }
        let half = self.hosts.len() / 2;
        for &to in &self.hosts[nr].neighbours {
            if self.is_partitioned && (nr < half) != (to < half) {
                continue;
            }
            self.reports.push((to, reports.clone()));
        }
    }

    /// Delivers the reports of the step before.
    fn deliver_reports(&mut self) {
        for (to, reports) in std::mem::take(&mut self.reports) {
            let host = &mut self.hosts[to];
            let local = host.clock + self.now;
            host.router.apply_rate_limit_reports(local, &reports);
        }
    }

    /// Sends one request from a host, if it is permitted, and tells it the response.
    fn send(&mut self, now: Duration, host: usize) {
        let Host { router, clock, .. } = &mut self.hosts[host];
        let local = *clock + now;
        let mut call = router.admit(local, request("q")).unwrap();
        let Some(placement) = router.place(local, &mut call) else {
            return;
        };
        let in_flight = router.begin_attempt(local, &mut call, &placement);
        if router.permit(local, &in_flight).is_err() {
            router.end_attempt(local, &mut call, in_flight, Ending::Withheld);
            return;
        }
        let is_limited = placement.id.as_str() == id(LIMITED);
        let states_rate = is_limited && self.rate > 0.0;
        let stated = states_rate.then(|| RequestRate::per_second(self.rate).unwrap());
        router.record_rate_limit(local, &in_flight, stated);
        router.end_attempt(local, &mut call, in_flight, Ending::Answered);
        if is_limited {
            let delay = MAX_DELAY.mul_f64(self.rng.random());
            self.arrivals.push(now + delay);
        }
    }

    /// Returns the maximum number of requests in [`WINDOW`] at the endpoint that states a rate,
    /// once all hosts were told.
    pub(crate) fn most_in_window(&self) -> u32 {
        let mut times: Vec<_> = self.arrivals.iter().filter(|it| **it >= TOLD).collect();
        times.sort_unstable();
        let within = |from: &Duration| {
            let until = times.partition_point(|it| **it < *from + WINDOW);
            until - times.partition_point(|it| *it < from)
        };
        let most = times.iter().map(|it| within(it)).max();
        u32::try_from(most.unwrap_or_default()).unwrap()
    }

    /// Returns the number of requests in [`WINDOW`] that the users' rule allows.
    pub(crate) fn max_in_window(&self) -> f64 {
        1.5 * self.rate * WINDOW.as_secs_f64() + 5.0
    }
}

fn name(nr: usize) -> HostName {
    HostName::from(format!("host-{nr}"))
}

fn id(nr: usize) -> String {
    format!("e{nr}")
}

fn entries(count: usize) -> Vec<Entry> {
    let entry = |nr| entry(&id(nr), "v1", Duration::ZERO);
    (0..count).map(entry).collect()
}
