//! Tests of the request rate that all hosts together send to cold endpoints.

use std::time::Duration;

use kernel::HostName;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use route::directory::Absence;
use route::endpoint::Entry;
use route::{Ending, Peers, Router, WarmUp};

#[path = "harness/router.rs"]
mod harness;

const SECOND: Duration = Duration::from_secs(1);
const STEP: Duration = Duration::from_millis(10);
const COLD: Duration = Duration::from_secs(6);
const ENDPOINTS: usize = 4;

/// A fleet in which every host has more requests than the endpoints may take.
struct Fleet {
    hosts: usize,
    rate: f64,
    /// Fraction of the other hosts that a host doesn't know.
    unknown_fraction: f64,
    /// Maximum network delay of a request.
    max_delay: Duration,
    seed: u64,
}

impl Fleet {
    /// Returns the arrival times of requests at each endpoint.
    fn simulate(&self) -> Vec<Vec<Duration>> {
        let mut rng = Pcg32::seed_from_u64(self.seed);
        let names: Vec<HostName> = (0..self.hosts)
            .map(|nr| HostName::from(format!("host-{nr}")))
            .collect();
        let mut hosts: Vec<_> = names
            .iter()
            .map(|own| {
                let known = names
                    .iter()
                    .filter(|_| rng.random::<f64>() >= self.unknown_fraction);
                let peers = Peers::new(own, known);
                let mut host = router(self.rate, rng.random());
                // The hosts' clocks differ, and so do the ages of their listings.
                let clock = Duration::from_secs_f64(100.0 * rng.random::<f64>());
                let age = SECOND.mul_f64(rng.random());
                host.update_listing(clock, entries(age), Absence::Gone);
                host.set_peers(Some(peers));
                (clock, host)
            })
            .collect();
        let mut arrivals = vec![Vec::new(); ENDPOINTS];
        let mut now = Duration::ZERO;
        while now + SECOND < COLD {
            for (clock, host) in &mut hosts {
                if let Some(to) = send(host, *clock + now) {
                    arrivals[to].push(now + self.max_delay.mul_f64(rng.random()));
                }
            }
            now += STEP;
        }
        arrivals
    }

    fn max_per_second(&self) -> usize {
        let most = |mut times: Vec<Duration>| {
            times.sort_unstable();
            let from = |at: &Duration| {
                let end = *at + SECOND;
                times.iter().filter(|it| (*at..end).contains(*it)).count()
            };
            times.iter().map(from).max().unwrap_or_default()
        };
        self.simulate()
            .into_iter()
            .map(most)
            .max()
            .unwrap_or_default()
    }
}

fn router(rate: f64, seed: u64) -> Router {
    harness::router(Some(WarmUp { span: COLD, rate }), seed)
}

fn entries(age: Duration) -> Vec<Entry> {
    let entry = |nr| harness::entry(&format!("e{nr}"), "v1", COLD.saturating_sub(age));
    (0..ENDPOINTS).map(entry).collect()
}

/// Sends a request if the host permits it, and returns the endpoint's index.
fn send(host: &mut Router, now: Duration) -> Option<usize> {
    let mut call = host.admit(now, harness::request("q")).unwrap();
    let placement = host.place(now, &mut call)?;
    let in_flight = host.begin_attempt(now, &mut call, &placement);
    let permit = host.permit(now, &in_flight);
    let is_out = permit.is_ok();
    let ending = if is_out {
        Ending::Answered
    } else {
        Ending::Withheld
    };
    host.end_attempt(now, &mut call, in_flight, ending);
    is_out.then(|| placement.id.as_str()[1..].parse().unwrap())
}

/// Guards against all hosts together overloading an endpoint that has just started.
#[test]
fn hosts_stay_within_the_rate() {
    for (nr, hosts) in [1, 2, 5, 6, 7, 8, 30, 84, 300].into_iter().enumerate() {
        for rate in [0.5, 1.0, 7.6, 40.0] {
            let fleet = Fleet {
                hosts,
                rate,
                unknown_fraction: 0.0,
                max_delay: Duration::from_millis(40),
                seed: nr as u64,
            };
            let most = fleet.max_per_second();
            let bound = rate.ceil();
            assert!(
                f64::from(u32::try_from(most).unwrap()) <= bound,
                "{hosts} hosts, limit {rate}/s: {most} requests in one second"
            );
            assert!(most > 0, "{hosts} hosts, limit {rate}/s: no request");
        }
    }
}

/// Hosts that don't know many others yet select themselves as senders too often. The rate may
/// then exceed the limit, but only to about twice the limit.
#[test]
fn unknown_hosts_raise_the_rate_within_a_bound() {
    const RATE: f64 = 7.6;
    /// About twice the limit.
    const MAX_PER_SECOND: usize = 16;
    let unknown_fraction = 0.3;
    let mut most = 0;
    for seed in 0..20 {
        let fleet = Fleet {
            hosts: 84,
            rate: RATE,
            unknown_fraction,
            max_delay: Duration::from_millis(40),
            seed,
        };
        most = most.max(fleet.max_per_second());
    }
    println!("{most} requests in one second");
    assert!(most <= MAX_PER_SECOND, "{most} requests in one second");
}
