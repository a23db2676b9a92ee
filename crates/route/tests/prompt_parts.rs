//! Tests of parts of prompts that make endpoints exit, in simulated fleets.

#[allow(dead_code, reason = "other test programs use the rest")]
#[path = "harness/router.rs"]
mod harness;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use route::directory::Absence;
use route::rollout::Scope;
use route::{
    Call, Denial, Ending, Fingerprint, HostCount, InFlight, IncomingRequest, Next, PartId,
    RequestProfile, Router,
};

const STEP: Duration = Duration::from_millis(20);
/// The time that an endpoint takes for a sound request.
const RUN_TIME: Duration = Duration::from_secs(1);
/// The time after which a request with the fatal part ends its endpoint.
const CRASH_DELAY: Duration = Duration::from_millis(100);
/// The time until a new process runs in place of one that ended.
const RESTART_TIME: Duration = Duration::from_millis(1_500);
/// Interval at which a host sends its updates.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(300);
const NEIGHBOURS: usize = 6;
/// Sound requests of the whole fleet per second, and requests with the fatal part.
const SOUND_RATE: f64 = 60.0;
const FATAL_RATE: f64 = 4.0;
const FATAL: PartId = PartId(0xdead);

/// A fleet of hosts before endpoints, with callers.
struct Fleet {
    routers: Vec<Router>,
    neighbours: Vec<Vec<usize>>,
    /// The current process of each endpoint; `None` while it is down.
    processes: Vec<Option<u32>>,
    restarts: Vec<(Duration, usize, u32)>,
    running: Vec<Running>,
    now: Duration,
    next_id: u64,
    rng: Pcg32,
    /// The times of exits that requests with the fatal part caused.
    crashes: Vec<Duration>,
    /// The times at which requests with the fatal part reached endpoints.
    fatal_sends: Vec<Duration>,
    /// The times at which sound requests were denied.
    sound_denials: Vec<Duration>,
}

struct Running {
    host: usize,
    endpoint: usize,
    is_fatal: bool,
    ends: Duration,
    call: Call,
    in_flight: InFlight,
}

impl Fleet {
    fn new(hosts: usize, endpoints: usize, seed: u64) -> Self {
        let now = Duration::from_secs(100);
        let mut rng = Pcg32::seed_from_u64(seed);
        let router = |nr: usize| {
            let mut router = harness::router(None, nr as u64);
            let entries = (0..endpoints).map(|it| entry(it, 0)).collect();
            router.update_listing(now, entries, Absence::Gone);
            router.set_host_count(HostCount {
                live: u32::try_from(hosts).unwrap(),
                silent: 0,
            });
            router
        };
        let neighbours = (0..hosts).map(|_| {
            let others = (0..NEIGHBOURS).map(|_| rng.random_range(0..hosts));
            others.collect()
        });
        Self {
            neighbours: neighbours.collect(),
            routers: (0..hosts).map(router).collect(),
            processes: vec![Some(0); endpoints],
            restarts: Vec::new(),
            running: Vec::new(),
            now,
            next_id: 0,
            rng,
            crashes: Vec::new(),
            fatal_sends: Vec::new(),
            sound_denials: Vec::new(),
        }
    }

    /// Runs callers for this time, `fatal_rate` requests per second of them with the fatal part.
    fn run(&mut self, time: Duration, fatal_rate: f64) {
        let end = self.now + time;
        let (mut sound, mut fatal) = (0.0, 0.0);
        while self.now < end {
            self.now += STEP;
            self.restart_endpoints();
            self.end_requests();
            self.gossip();
            sound += SOUND_RATE * STEP.as_secs_f64();
            fatal += fatal_rate * STEP.as_secs_f64();
            while sound >= 1.0 {
                sound -= 1.0;
                let part = PartId(100 + self.rng.random_range(0..50));
                self.arrive(part);
            }
            while fatal >= 1.0 {
                fatal -= 1.0;
                self.arrive(FATAL);
            }
        }
    }

    /// A request arrives at any host. No two are alike.
    fn arrive(&mut self, part: PartId) {
        self.next_id += 1;
        let id = self.next_id.to_string();
        let first = PartId(self.rng.random_range(0..3));
        let host = self.rng.random_range(0..self.routers.len());
        let request = IncomingRequest {
            body: id.as_bytes(),
            profile: RequestProfile {
                parts: Arc::from([first, part]),
                ..RequestProfile::default()
            },
            ..harness::request(&id)
        };
        match self.routers[host].admit(self.now, request) {
            Ok(call) => self.send(host, call, part == FATAL),
            Err(Denial::Quarantined { .. }) if part != FATAL => self.sound_denials.push(self.now),
            Err(_) => {}
        }
    }

    /// Sends a request until an endpoint that runs takes it.
    fn send(&mut self, host: usize, mut call: Call, is_fatal: bool) {
        let now = self.now;
        let router = &mut self.routers[host];
        while let Some(placement) = router.place(now, &mut call) {
            let in_flight = router.begin_attempt(now, &mut call, &placement);
            let (endpoint, process) = parse(&placement.id);
            if self.processes[endpoint] == Some(process) {
                if is_fatal {
                    self.fatal_sends.push(now);
                }
                let ends = now + if is_fatal { CRASH_DELAY } else { RUN_TIME };
                return self.running.push(Running {
                    host,
                    endpoint,
                    is_fatal,
                    ends,
                    call,
                    in_flight,
                });
            }
            if let Next::Fail(_) = router.end_attempt(now, &mut call, in_flight, Ending::NotSent) {
                return;
            }
        }
    }

    fn end_requests(&mut self) {
        let now = self.now;
        let is_due = |it: &Running| it.ends <= now;
        let crashed: BTreeSet<usize> = self
            .running
            .iter()
            .filter(|it| it.is_fatal && is_due(it))
            .map(|it| it.endpoint)
            .collect();
        for endpoint in &crashed {
            self.crashes.push(now);
            self.end_process(*endpoint);
        }
        let (ended, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(is_due);
        self.running = running;
        for mut it in ended {
            let router = &mut self.routers[it.host];
            router.end_attempt(now, &mut it.call, it.in_flight, Ending::Answered);
        }
    }

    /// Ends an endpoint's process. All requests there break off, and their hosts notice the exit.
    fn end_process(&mut self, endpoint: usize) {
        let now = self.now;
        let Some(process) = self.processes[endpoint].take() else {
            return;
        };
        self.restarts
            .push((now + RESTART_TIME, endpoint, process + 1));
        let (broken, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|it: &Running| it.endpoint == endpoint);
        self.running = running;
        for mut it in broken {
            let router = &mut self.routers[it.host];
            let next = router.end_attempt(now, &mut it.call, it.in_flight, Ending::Broken);
            for (key, _, _) in router.take_probe_candidates() {
                router.process_ended(now, key);
            }
            if next == Next::Again {
                self.send(it.host, it.call, it.is_fatal);
            }
        }
    }

    fn restart_endpoints(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = self.restarts.drain(..).partition(|it| it.0 <= now);
        self.restarts = later;
        for (_, endpoint, process) in due {
            self.processes[endpoint] = Some(process);
            let gone = entry(endpoint, process - 1).id;
            for it in &mut self.routers {
                let changed = [entry(endpoint, process)];
                it.update_endpoints(now, &changed, std::slice::from_ref(&gone), Absence::Gone);
            }
        }
    }

    fn gossip(&mut self) {
        let steps = self.now.as_millis() / STEP.as_millis();
        let interval = GOSSIP_INTERVAL.as_millis() / STEP.as_millis();
        for host in 0..self.routers.len() {
            if !(steps + host as u128).is_multiple_of(interval) {
                continue;
            }
            let quarantine = self.routers[host].quarantine();
            let update = quarantine.build_update(self.now, Scope::Delta);
            if update.is_empty() {
                continue;
            }
            for to in self.neighbours[host].clone() {
                self.routers[to]
                    .quarantine()
                    .apply_update(self.now, &update);
            }
        }
    }

    /// Returns the number of quarantined parts, at the host that has most of them.
    fn quarantined_parts(&mut self) -> usize {
        let quarantined = self
            .routers
            .iter_mut()
            .map(|it| it.quarantine().unpersisted());
        let parts = quarantined.map(|it| it.iter().filter(|it| it.is_part()).count());
        parts.max().unwrap()
    }
}

fn entry(endpoint: usize, process: u32) -> route::endpoint::Entry {
    harness::entry(&format!("e-{endpoint}-{process}"), "v1", Duration::ZERO)
}

/// Returns the endpoint and the process that an id names.
fn parse(id: &kernel::EndpointId) -> (usize, u32) {
    let mut parts = id.as_str().split('-').skip(1);
    let mut next = || parts.next().unwrap();
    (next().parse().unwrap(), next().parse().unwrap())
}

/// Guards against a quarantine that each host learns by itself: no host sees more than a few exits.
#[test]
fn few_requests_with_a_fatal_part_reach_endpoints_at_any_size() {
    for (hosts, endpoints) in [(6, 18), (30, 30), (84, 64), (300, 246)] {
        for seed in 0..4 {
            let mut fleet = Fleet::new(hosts, endpoints, seed);
            fleet.run(Duration::from_secs(2), 0.0);
            fleet.run(Duration::from_secs(10), FATAL_RATE);
            let fifth = fleet.crashes[4];
            let is_late = |it: &&Duration| **it > fifth + Duration::from_secs(3);
            let late = fleet.fatal_sends.iter().filter(is_late).count();
            let recovered = |it: &&Duration| **it > fifth + Duration::from_secs(6);
            let denied = fleet.sound_denials.iter().filter(recovered).count();
            let crashes = fleet.crashes.len();
            println!("{hosts} hosts: {crashes} crashes, {late} late, {denied} sound denied");
            assert!(late <= 3, "{hosts} hosts, seed {seed}: {late} late");
            assert_eq!(
                denied, 0,
                "{hosts} hosts, seed {seed}: sound requests denied"
            );
        }
    }
}

/// Guards against taking parts that all requests share for the cause of a power failure.
#[test]
fn endpoints_that_lose_power_together_quarantine_no_part() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(6, 18, seed);
        fleet.run(Duration::from_secs(2), 0.0);
        for endpoint in 0..12 {
            fleet.end_process(endpoint);
        }
        fleet.run(Duration::from_secs(5), 0.0);
        if fleet.quarantined_parts() > 0 {
            println!("FALSE {seed}");
        }
    }
}

/// Guards against taking parts that all requests share for the cause of exits that have nothing to
/// do with requests.
#[test]
fn endpoints_that_exit_one_after_the_other_quarantine_no_part() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(6, 18, seed);
        fleet.run(Duration::from_secs(2), 0.0);
        for endpoint in (0..18).cycle().take(30) {
            fleet.end_process(endpoint);
            fleet.run(Duration::from_millis(300), 0.0);
        }
        if fleet.quarantined_parts() > 0 {
            println!("FALSE {seed}");
        }
    }
}

/// Guards against a part that ends endpoints anew after all hosts restarted: the store has it in its
/// hexadecimal form.
#[test]
fn a_host_that_starts_knows_quarantined_parts_from_the_store() {
    let mut fleet = Fleet::new(6, 18, 1);
    fleet.run(Duration::from_secs(6), FATAL_RATE);
    let stored = fleet.routers[0].quarantine().unpersisted();
    let stored: Vec<_> = stored.iter().map(ToString::to_string).collect();
    let read = stored.iter().map(|it| Fingerprint::read(it).unwrap());
    let read: Vec<_> = read.collect();
    let mut restarted = Fleet::new(1, 18, 2);
    let now = restarted.now;
    restarted.routers[0].quarantine().load_persisted(now, &read);
    restarted.run(Duration::from_secs(3), FATAL_RATE);
    assert!(restarted.fatal_sends.is_empty());
    assert!(restarted.sound_denials.is_empty());
}
