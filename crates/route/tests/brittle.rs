//! Tests of endpoints that exit when they have to refuse too many requests.

#[allow(dead_code, reason = "other test programs use the rest")]
#[path = "harness/router.rs"]
mod harness;

use std::time::Duration;

use kernel::HostName;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use route::directory::Absence;
use route::endpoint::Load;
use route::{Call, Ending, HostCount, InFlight, Next, Peers, Router};

const STEP: Duration = Duration::from_millis(10);
/// The time that an endpoint takes for a request.
const RUN_TIME: Duration = Duration::from_secs(1);
/// The slots of an endpoint of the harness. It refuses requests beyond them.
const SLOTS: u32 = 10;
/// The refusals in a second that an endpoint survives.
const MAX_REFUSALS: usize = 6;
/// The time from the first statement on in which endpoints still queue requests.
const NOTICE: Duration = Duration::from_secs(3);
/// The time after the notice for which refusals are counted.
const COUNTED: Duration = Duration::from_secs(4);

/// A fleet of hosts before endpoints that state that they are brittle.
struct Fleet {
    routers: Vec<Router>,
    endpoints: Vec<Endpoint>,
    running: Vec<Running>,
    now: Duration,
    began: Duration,
    rng: Pcg32,
    served: usize,
}

#[derive(Default)]
struct Endpoint {
    running: u32,
    refused_at: Vec<Duration>,
}

struct Running {
    host: usize,
    endpoint: usize,
    ends: Duration,
    call: Call,
    in_flight: InFlight,
}

impl Fleet {
    fn new(hosts: usize, endpoints: usize) -> Self {
        let began = Duration::from_secs(100);
        let name = |nr: usize| HostName::from(format!("h-{nr}").as_str());
        let names: Vec<_> = (0..hosts).map(name).collect();
        let router = |nr: usize| {
            let mut router = harness::router(None, nr as u64);
            let entry = |nr| harness::entry(&format!("e-{nr}"), "v1", Duration::ZERO);
            router.update_listing(began, (0..endpoints).map(entry).collect(), Absence::Gone);
            router.set_host_count(HostCount {
                live: u32::try_from(hosts).unwrap(),
                silent: 0,
            });
            router.set_peers(Some(Peers::new(&names[nr], names.iter())));
            router
        };
        Self {
            routers: (0..hosts).map(router).collect(),
            endpoints: (0..endpoints).map(|_| Endpoint::default()).collect(),
            running: Vec::new(),
            now: began,
            began,
            rng: Pcg32::seed_from_u64(1),
            served: 0,
        }
    }

    /// Runs callers that keep `load` times the slots of all endpoints busy, for this time.
    fn run(&mut self, load: f64, time: Duration) {
        let end = self.now + time;
        let slots = f64::from(SLOTS) * to_f64(self.endpoints.len());
        let per_step = slots * load * STEP.div_duration_f64(RUN_TIME);
        let mut due = 0.0;
        while self.now < end {
            self.now += STEP;
            self.end_requests();
            due += per_step;
            while due >= 1.0 {
                due -= 1.0;
                let host = self.rng.random_range(0..self.routers.len());
                self.send(host);
            }
        }
    }

    fn end_requests(&mut self) {
        let now = self.now;
        let (ended, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|it: &Running| it.ends <= now);
        self.running = running;
        for mut it in ended {
            let endpoint = &mut self.endpoints[it.endpoint];
            endpoint.running -= 1;
            let load = Load {
                pace: None,
                running: endpoint.running,
                waiting: 0,
                slots: SLOTS,
            };
            let router = &mut self.routers[it.host];
            router.record_load(now, &mut it.in_flight, load);
            router.record_brittle(now, &it.in_flight);
            router.end_attempt(now, &mut it.call, it.in_flight, Ending::Answered);
            self.served += 1;
        }
    }

    fn send(&mut self, host: usize) {
        let now = self.now;
        let router = &mut self.routers[host];
        let mut call = router.admit(now, harness::request("q")).unwrap();
        while let Some(placement) = router.place(now, &mut call) {
            let in_flight = router.begin_attempt(now, &mut call, &placement);
            let nr = number(&placement.id);
            let endpoint = &mut self.endpoints[nr];
            let queues = now < self.began + NOTICE;
            if router.permit(now, &in_flight).is_err() {
                match router.end_attempt(now, &mut call, in_flight, Ending::Withheld) {
                    Next::Again => continue,
                    Next::Fail(_) => return,
                }
            }
            if endpoint.running < SLOTS || queues {
                endpoint.running += 1;
                self.running.push(Running {
                    host,
                    endpoint: nr,
                    ends: now + RUN_TIME,
                    call,
                    in_flight,
                });
                return;
            }
            endpoint.refused_at.push(now);
            router.record_brittle(now, &in_flight);
            match router.end_attempt(now, &mut call, in_flight, Ending::Refused) {
                Next::Again => {}
                Next::Fail(_) => return,
            }
        }
    }

    /// Returns the most refusals of an endpoint in a second.
    fn max_refusals(&self) -> usize {
        let within = |times: &[Duration], from: usize| {
            let end = times[from] + Duration::from_secs(1);
            times[from..].iter().take_while(|it| **it < end).count()
        };
        let most = |it: &Endpoint| {
            let times = &it.refused_at;
            (0..times.len()).map(|from| within(times, from)).max()
        };
        self.endpoints.iter().filter_map(most).max().unwrap_or(0)
    }
}

fn to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap())
}

fn number(id: &kernel::EndpointId) -> usize {
    id.as_str().strip_prefix("e-").unwrap().parse().unwrap()
}

/// Guards against endpoints that exit one after the other because all hosts together send them
/// more than they can queue, and against refusing callers while endpoints have room.
#[test]
fn brittle_endpoints_refuse_few_requests_under_overload() {
    for hosts in [6, 30, 84, 300] {
        let mut fleet = Fleet::new(hosts, hosts);
        fleet.run(0.5, NOTICE);
        fleet.run(1.6, RUN_TIME);
        fleet.served = 0;
        fleet.run(1.6, COUNTED);
        let refusals = fleet.max_refusals();
        let slots = f64::from(SLOTS) * to_f64(fleet.endpoints.len());
        let used = to_f64(fleet.served) / (slots * COUNTED.div_duration_f64(RUN_TIME));
        println!("{hosts} hosts: {refusals} refusals, {used:.2} of the slots used");
        assert!(refusals <= MAX_REFUSALS, "{hosts} hosts: {refusals}");
        assert!(used > 0.75, "{hosts} hosts use {used:.2} of the slots");
    }
}
