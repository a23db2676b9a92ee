//! A fleet of routers, modelled endpoints and callers in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use route::directory::Absence;
use route::endpoint::Key;
use route::{Call, Ending, Failure, HostCount, InFlight, LoadPolicy, Next, Router, Shortage};

use super::engine::Engine;
use super::site::{self, CUSTOMERS, PLAIN, SLOTS, TARGET_LATENCY, TIMEOUT, URGENT};

/// The mean time for which a request occupies a slot. Times vary from half to one and a half of it.
pub(crate) const SERVICE_TIME: Duration = Duration::from_millis(200);

/// What callers do when a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Callers {
    /// They retry after `Retry-After`, at another host.
    Patient,
    /// They send the request again at once, three times, at any host.
    Eager,
}

/// One customer's load over a time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    pub(crate) customer: usize,
    /// Requests per second at all hosts together.
    pub(crate) rate: f64,
    pub(crate) until: Duration,
}

/// What became of a customer's requests. A request that is retried counts once.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Outcomes {
    pub(crate) sent: usize,
    pub(crate) answered: usize,
    /// Requests that were answered within the target latency.
    pub(crate) on_time: usize,
    pub(crate) no_capacity: usize,
    pub(crate) over_share: usize,
    pub(crate) early_retry: usize,
    /// Requests that ended at their deadline.
    pub(crate) late: usize,
}

struct Request {
    customer: usize,
    host: usize,
    path: &'static str,
    body: usize,
    deadline: Duration,
    is_answered: bool,
    attempt: Option<(Call, InFlight, usize)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Finish { endpoint: usize, request: usize },
    Expire(usize),
}

pub(crate) struct Fleet {
    now: Duration,
    hosts: Vec<Router>,
    keys: Vec<Vec<Key>>,
    engines: Vec<Engine>,
    requests: Vec<Request>,
    events: BinaryHeap<Reverse<(Duration, usize, Event)>>,
    sequence: usize,
    callers: Callers,
    rng: Pcg32,
    pub(crate) outcomes: [Outcomes; CUSTOMERS.len()],
    /// The first request whose outcome is counted.
    first_counted: usize,
    /// The refusals by whether the request was urgent.
    pub(crate) urgent_refusals: usize,
    pub(crate) plain_refusals: usize,
    /// The endpoint of each attempt, to compare runs.
    pub(crate) trace: Vec<(Duration, usize)>,
    checks: Checks,
}

/// Whether hosts check capacity before they place a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Checks {
    Made,
    Omitted,
}

impl Fleet {
    pub(crate) fn new(policy: LoadPolicy, hosts: u32, endpoints: usize, callers: Callers) -> Self {
        let mut fleet = Self {
            now: Duration::from_secs(100),
            hosts: (0..hosts)
                .map(|it| site::router(policy, hosts, u64::from(it)))
                .collect(),
            keys: Vec::new(),
            engines: (0..endpoints).map(|_| Engine::default()).collect(),
            requests: Vec::new(),
            events: BinaryHeap::new(),
            sequence: 0,
            callers,
            rng: Pcg32::seed_from_u64(7),
            outcomes: [Outcomes::default(); CUSTOMERS.len()],
            first_counted: 0,
            urgent_refusals: 0,
            plain_refusals: 0,
            trace: Vec::new(),
            checks: Checks::Made,
        };
        fleet.list(endpoints);
        fleet
    }

    pub(crate) fn with_checks(mut self, checks: Checks) -> Self {
        self.checks = checks;
        self
    }

    /// Lists the first `endpoints` endpoints at all hosts.
    pub(crate) fn list(&mut self, endpoints: usize) {
        let live = u32::try_from(self.hosts.len()).unwrap();
        for it in &mut self.hosts {
            it.set_host_count(HostCount { live, silent: 0 });
            it.update_listing(
                self.now,
                (0..endpoints).map(site::entry).collect(),
                Absence::Gone,
            );
        }
        if self.keys.is_empty() {
            let keys = |it: &Router| {
                it.directory()
                    .endpoints_of(&"pool".into())
                    .map(|it| it.0)
                    .collect()
            };
            self.keys = self.hosts.iter().map(keys).collect();
        }
    }

    /// Counts only the outcomes of requests that are sent from now on.
    pub(crate) fn reset(&mut self) {
        self.outcomes = <[Outcomes; CUSTOMERS.len()]>::default();
        self.first_counted = self.requests.len();
        self.trace.clear();
    }

    /// Returns the requests per second that all endpoints together can run.
    pub(crate) fn capacity(&self) -> f64 {
        f64::from(u32::try_from(self.engines.len()).unwrap() * SLOTS) / SERVICE_TIME.as_secs_f64()
    }

    /// Returns the requests that all endpoints received.
    pub(crate) fn received(&self) -> usize {
        self.engines.iter().map(|it| it.received).sum()
    }

    /// Runs this load, with times relative to now, until `until`.
    pub(crate) fn run(&mut self, loads: &[Load], until: Duration) {
        let start = self.now;
        for load in loads {
            let mut at = start;
            while at < start + load.until {
                let uniform: f64 = self.rng.random();
                at += Duration::from_secs_f64(-(1.0 - uniform).ln() / load.rate);
                let path = if self.rng.random::<f64>() < 0.3 {
                    URGENT
                } else {
                    PLAIN
                };
                let body = self.requests.len();
                self.send(load.customer, path, body, at, at + TIMEOUT);
                self.outcomes[load.customer].sent += 1;
            }
        }
        while let Some(Reverse((at, _, event))) = self.events.peek().copied() {
            if at > start + until {
                break;
            }
            self.events.pop();
            self.now = at;
            match event {
                Event::Arrive(request) => self.arrive(request),
                Event::Finish { endpoint, request } => self.finish(endpoint, request),
                Event::Expire(request) => self.expire(request),
            }
        }
        self.now = start + until;
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn send(
        &mut self,
        customer: usize,
        path: &'static str,
        body: usize,
        at: Duration,
        deadline: Duration,
    ) {
        let number = self.requests.len();
        self.requests.push(Request {
            customer,
            host: self.rng.random_range(0..self.hosts.len()),
            path,
            body,
            deadline,
            is_answered: false,
            attempt: None,
        });
        self.schedule(at, Event::Arrive(number));
    }

    fn arrive(&mut self, number: usize) {
        let request = &self.requests[number];
        let body = request.body.to_string();
        let incoming = site::request(
            CUSTOMERS[request.customer],
            request.path,
            &body,
            request.deadline.saturating_sub(self.now),
        );
        let call = self.hosts[request.host].admit(self.now, incoming).unwrap();
        self.place(number, call);
    }

    fn place(&mut self, number: usize, mut call: Call) {
        let host = self.requests[number].host;
        let router = &mut self.hosts[host];
        if self.checks == Checks::Made
            && let Err(failure) = router.check_capacity(self.now, &mut call)
        {
            return self.refused(number, failure);
        }
        let placement = router.place(self.now, &mut call).unwrap();
        let in_flight = router.begin_attempt(self.now, &mut call, &placement);
        let endpoint = self.keys[host]
            .iter()
            .position(|it| *it == placement.endpoint)
            .unwrap();
        self.trace.push((self.now, endpoint));
        let (priority, deadline) = (call.priority(), call.deadline);
        self.requests[number].attempt = Some((call, in_flight, endpoint));
        self.engines[endpoint].receive(number, priority, deadline);
        self.schedule(deadline, Event::Expire(number));
        self.start(endpoint);
    }

    fn start(&mut self, endpoint: usize) {
        while let Some(request) = self.engines[endpoint].start(self.now) {
            let factor = self.rng.random_range(0.5..1.5);
            let at = self.now + SERVICE_TIME.mul_f64(factor);
            self.schedule(at, Event::Finish { endpoint, request });
        }
    }

    fn finish(&mut self, endpoint: usize, number: usize) {
        if !self.engines[endpoint].finish(number) {
            return;
        }
        self.start(endpoint);
        let load = self.engines[endpoint].load();
        let request = &mut self.requests[number];
        let Some((mut call, mut in_flight, _)) = request.attempt.take() else {
            return;
        };
        let router = &mut self.hosts[request.host];
        router.record_load(self.now, &mut in_flight, load);
        router.response_started(self.now, &call, &mut in_flight);
        router.end_attempt(self.now, &mut call, in_flight, Ending::Answered);
        let body = request.body;
        let is_first = !std::mem::replace(&mut self.requests[body].is_answered, true);
        if is_first && body >= self.first_counted {
            let left = self.requests[body].deadline.saturating_sub(self.now);
            let took = TIMEOUT.saturating_sub(left);
            let outcomes = &mut self.outcomes[self.requests[body].customer];
            outcomes.answered += 1;
            outcomes.on_time += usize::from(took <= TARGET_LATENCY);
        }
    }

    /// Ends a request at its deadline. The endpoint finishes it if it has started.
    fn expire(&mut self, number: usize) {
        let request = &mut self.requests[number];
        let Some((mut call, in_flight, _)) = request.attempt.take() else {
            return;
        };
        let router = &mut self.hosts[request.host];
        let next = router.end_attempt(self.now, &mut call, in_flight, Ending::TimedOut);
        assert_eq!(next, Next::Fail(Failure::Late));
        if request.body >= self.first_counted {
            self.outcomes[request.customer].late += 1;
        }
    }

    fn refused(&mut self, number: usize, failure: Failure) {
        let Failure::Overloaded {
            shortage,
            retry_after,
        } = failure
        else {
            panic!("{failure:?}");
        };
        let request = &self.requests[number];
        let (customer, path, body, deadline) = (
            request.customer,
            request.path,
            request.body,
            request.deadline,
        );
        let left = deadline.saturating_sub(self.now);
        assert!(retry_after <= left / 3, "{retry_after:?} of {left:?}");
        let outcomes = &mut self.outcomes[customer];
        match shortage {
            Shortage::NoCapacity { .. } => outcomes.no_capacity += 1,
            Shortage::OverShare { .. } => outcomes.over_share += 1,
            Shortage::EarlyRetry => outcomes.early_retry += 1,
        }
        if shortage != Shortage::EarlyRetry {
            let by_urgency = if path == URGENT {
                &mut self.urgent_refusals
            } else {
                &mut self.plain_refusals
            };
            *by_urgency += 1;
        }
        // Shorter than a round trip, nothing can be achieved.
        if left < Duration::from_millis(100) {
            return;
        }
        match self.callers {
            Callers::Patient => self.send(customer, path, body, self.now + retry_after, deadline),
            // The retries of retries would be endless, so only the first refusal is retried.
            Callers::Eager if shortage != Shortage::EarlyRetry && number == body => {
                for nr in 1..=3 {
                    let at = self.now + Duration::from_millis(10 * nr);
                    self.send(customer, path, body, at, deadline);
                }
            }
            Callers::Eager => {}
        }
    }
}
