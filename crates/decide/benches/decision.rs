//! Measures the time to handle events: a request from arrival to response, ticks,
//! load reports and policies.

use std::sync::Arc;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use decide::arrival::{Chat, Work};
use decide::endpoint::{Distance, Id, Load, Role, State as EndpointState, Update};
use decide::outcome::Answer;
use decide::policy::{Allowance, Customer, Priority, Profile, RetryPolicy, State, Version};
use decide::{Action, Arrival, Decider, Event, Outcome, Policy, Tuning, key};
use kernel::{HostName, Incarnation, Money, Revision, VersionId};

/// The size of a large deployment.
const LARGE: Size = Size {
    versions: 34,
    endpoints: 1200,
    customers: 10,
};

#[derive(Clone, Copy)]
struct Size {
    versions: u16,
    endpoints: u16,
    customers: u16,
}

struct Bench {
    decider: Decider,
    actions: Vec<Action>,
    now: Duration,
    next: u64,
    delivered: u64,
    size: Size,
}

impl Bench {
    fn new(size: Size) -> Self {
        let mut bench = Self {
            decider: Decider::new(1, Tuning::default()),
            actions: Vec::new(),
            now: Duration::from_secs(1),
            next: 0,
            delivered: 0,
            size,
        };
        bench.handle(Event::Configure(Arc::new(policy(size))));
        for number in 0..size.endpoints {
            bench.handle(Event::Endpoint(endpoint(size, number)));
        }
        bench.now = Duration::from_mins(1);
        bench
    }

    fn handle(&mut self, event: Event) {
        self.actions.clear();
        self.decider.handle(self.now, event, &mut self.actions);
    }

    /// Handles one request from its arrival to its response, and advances the time.
    fn request(&mut self) {
        self.next += 1;
        self.now += Duration::from_millis(2);
        let customer = u16::try_from(self.next % u64::from(self.size.customers)).unwrap();
        let arrival = Arrival {
            request: key::Request(self.next),
            customer: key::Customer(customer),
            work: Work::Chat(Chat {
                profile: key::Profile(0),
                class: key::Class::default(),
                prompt_tokens: 500,
                max_tokens: 0,
                prefix: self.next % 512,
                pin: None,
            }),
            priority: None,
            deadline: None,
        };
        self.handle(Event::Arrive(arrival));
        while let Some(attempt) = self.dispatched() {
            let confidence = if self.next.is_multiple_of(10) {
                0.4
            } else {
                0.93
            };
            let outcome = Outcome::Answered(Answer {
                confidence,
                prompt_tokens: 500,
                completion_tokens: 200,
            });
            self.handle(Event::Ended { attempt, outcome });
        }
        let ended = self.actions.iter();
        self.delivered += ended
            .filter(|it| matches!(it, Action::Deliver(_)))
            .map(|_| 1)
            .sum::<u64>();
    }

    /// Collects evidence before the measurement, and checks that all requests were
    /// answered, so that the benchmark does not measure refusals.
    fn warm_up(&mut self) {
        const REQUESTS: u64 = 2_000;
        for _ in 0..REQUESTS {
            self.request();
        }
        assert_eq!(self.delivered, REQUESTS);
    }

    fn dispatched(&self) -> Option<kernel::AttemptId> {
        self.actions.iter().find_map(|it| match it {
            Action::Dispatch(it) => Some(it.attempt),
            _ => None,
        })
    }
}

fn policy(size: Size) -> Policy {
    let versions = (0..size.versions).map(|at| Version {
        id: version_id(at),
        state: State::Active,
        prompt_price: Money(10_000_000 * (u64::from(at) + 1)),
        completion_price: Money(40_000_000 * (u64::from(at) + 1)),
    });
    let customers = (0..size.customers).map(|at| Customer {
        name: format!("customer-{at}").into(),
        rate: 1e6,
        burst: 1e6,
        concurrency: 100_000,
        weight: 1.0,
    });
    let allowed = (0..size.customers).map(|customer| Allowance {
        customer: key::Customer(customer),
        versions: (0..size.versions).map(key::Version).collect(),
    });
    Policy {
        revision: Revision(1),
        versions: versions.collect(),
        profiles: vec![Profile {
            name: "chat".into(),
            allowed: allowed.collect(),
            target: 0.9,
            cap: Some(Money(1_000_000_000)),
            retry_policy: RetryPolicy::Idempotent,
            priority: Priority::Interactive,
            deadline: Duration::from_secs(30),
        }],
        customers: customers.collect(),
        services: Vec::new(),
        rollouts: Vec::new(),
    }
}

/// Returns an endpoint with two versions loaded; a twentieth of the endpoints are in
/// this data centre.
fn endpoint(size: Size, number: u16) -> Update {
    let name = HostName::from(format!("replica-{number}"));
    let versions = [number % size.versions, (number * 7 + 1) % size.versions].map(version_id);
    Update {
        id: Id::new(&name, Incarnation(1)),
        role: Role::Engine(versions.into()),
        distance: match number % 20 {
            0 => Distance::DataCentre,
            1..7 => Distance::Region,
            _ => Distance::Far,
        },
        state: EndpointState::Live,
        load: Some(Load {
            running: u32::from(number % 5),
            waiting: 0,
            slots: 8,
            age: Duration::from_millis(300),
        }),
    }
}

fn version_id(at: u16) -> VersionId {
    format!("model-{at}@1").into()
}

fn requests(c: &mut Criterion) {
    let mut group = c.benchmark_group("request");
    let mut measure = |name: &str, value: u16, size: Size| {
        let mut bench = Bench::new(size);
        bench.warm_up();
        group.bench_function(BenchmarkId::new(name, value), |it| {
            it.iter(|| bench.request());
        });
    };
    for versions in [4, 16, 34] {
        measure("versions", versions, Size { versions, ..LARGE });
    }
    for endpoints in [20, 300, 1200] {
        measure("replicas", endpoints, Size { endpoints, ..LARGE });
    }
    for customers in [1, 10, 40] {
        measure("customers", customers, Size { customers, ..LARGE });
    }
    group.finish();
}

fn other_events(c: &mut Criterion) {
    let mut bench = Bench::new(LARGE);
    bench.warm_up();
    c.bench_function("tick", |it| {
        it.iter(|| {
            bench.now += Duration::from_millis(100);
            bench.handle(Event::Tick);
        });
    });
    c.bench_function("request with a new plan", |it| {
        it.iter(|| {
            // Longer than a plan is reused.
            bench.now += Duration::from_secs(11);
            bench.request();
        });
    });
    let updates: Vec<Update> = (0..LARGE.endpoints).map(|it| endpoint(LARGE, it)).collect();
    let mut next = updates.iter().cycle();
    c.bench_function("load report", |it| {
        it.iter(|| bench.handle(Event::Endpoint(next.next().unwrap().clone())));
    });
    let mut revision = 1;
    c.bench_function("configure", |it| {
        it.iter(|| {
            revision += 1;
            let mut policy = policy(LARGE);
            policy.revision = Revision(revision);
            bench.handle(Event::Configure(Arc::new(policy)));
        });
    });
}

criterion_group!(benches, requests, other_events);
criterion_main!(benches);
