//! The decision core: elapsed time per request by numbers of versions, endpoints and customers.

use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

use decide::arrival::{Chat, Work};
use decide::endpoint::{Distance, Id, Load, Role, State, Update};
use decide::outcome::Answer;
use decide::policy::{Allowance, Customer, Priority, Profile, RetryPolicy, Version};
use decide::{Action, Arrival, Decider, Event, Outcome, Policy, Tuning, key};
use kernel::{HostName, Incarnation, Money, ProfileName, VersionId};

use crate::capacity::{Sample, Series};

/// The sizes of the target deployment.
const TARGET: Sizes = Sizes {
    versions: 34,
    endpoints: 1200,
    customers: 10,
};
const RUNS: usize = 5;
const WARM_UP_REQUESTS: u32 = 5_000;
const MEASURED_REQUESTS: u32 = 5_000;
const ALLOWED_VERSIONS: usize = 4;

#[derive(Clone, Copy)]
struct Sizes {
    versions: u32,
    endpoints: u32,
    customers: u32,
}

pub(super) fn measure() -> Vec<Series> {
    let versions = [8, 16, 34, 68].map(|versions| (versions, Sizes { versions, ..TARGET }));
    let endpoints = [150, 300, 600, 1200, 2400].map(|endpoints| {
        (
            endpoints,
            Sizes {
                endpoints,
                ..TARGET
            },
        )
    });
    let customers = [5, 10, 20, 40].map(|customers| {
        (
            customers,
            Sizes {
                customers,
                ..TARGET
            },
        )
    });
    vec![
        series("versions", TARGET.versions, &versions),
        series("replicas", TARGET.endpoints, &endpoints),
        series("customers", TARGET.customers, &customers),
    ]
}

fn series(size_unit: &'static str, target: u32, sizes: &[(u32, Sizes)]) -> Series {
    let samples = sizes.iter().map(|(size, sizes)| {
        let runs = (0..RUNS).map(|_| micros_per_request(*sizes)).collect();
        Sample::of(f64::from(*size), runs)
    });
    let name = "decide: one request, arrival to delivery";
    Series::new(name, "us", size_unit, f64::from(target), samples.collect())
}

/// Returns the elapsed microseconds per request in the core, from arrival to delivery.
fn micros_per_request(sizes: Sizes) -> f64 {
    let policy = Arc::new(policy(sizes));
    let mut core = Decider::new(1, Tuning::default());
    let mut actions = Vec::new();
    core.handle(
        Duration::ZERO,
        Event::Configure(Arc::clone(&policy)),
        &mut actions,
    );
    for number in 0..sizes.endpoints {
        core.handle(
            Duration::ZERO,
            Event::Endpoint(endpoint(number, &policy)),
            &mut actions,
        );
    }
    let mut now = Duration::from_mins(1);
    for number in 0..WARM_UP_REQUESTS {
        now += Duration::from_millis(1);
        run_request(&mut core, now, number, sizes, &mut actions);
    }
    let start = Instant::now();
    for number in WARM_UP_REQUESTS..WARM_UP_REQUESTS + MEASURED_REQUESTS {
        now += Duration::from_millis(1);
        run_request(&mut core, now, number, sizes, &mut actions);
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(MEASURED_REQUESTS)
}

fn run_request(
    core: &mut Decider,
    now: Duration,
    number: u32,
    sizes: Sizes,
    actions: &mut Vec<Action>,
) {
    actions.clear();
    core.handle(now, Event::Arrive(arrival(number, sizes)), actions);
    // Each dispatched attempt responds at once. Its response may add further actions.
    let mut at = 0;
    while let Some(action) = actions.get(at) {
        at += 1;
        let Action::Dispatch(dispatch) = action else {
            continue;
        };
        let attempt = dispatch.attempt;
        let answer = Answer {
            confidence: 0.9,
            prompt_tokens: 400,
            completion_tokens: 200,
        };
        core.handle(now, Event::Started { attempt }, actions);
        let outcome = Outcome::Answered(answer);
        core.handle(now, Event::Ended { attempt, outcome }, actions);
    }
    let delivered = actions.iter().any(|it| matches!(it, Action::Deliver(_)));
    assert!(
        delivered,
        "the request must be delivered to be measured: {actions:?}"
    );
    black_box(&actions);
}

fn arrival(number: u32, sizes: Sizes) -> Arrival {
    let customer = usize::try_from(number % sizes.customers).unwrap_or_default();
    Arrival {
        request: key::Request(u64::from(number)),
        customer: key::Customer::at(customer),
        work: Work::Chat(Chat {
            profile: key::Profile::at(0),
            class: key::Class::named("general"),
            prompt_tokens: 400,
            max_tokens: 400,
            prefix: u64::from(number % 64),
            pin: None,
        }),
        priority: None,
        deadline: None,
    }
}

fn policy(sizes: Sizes) -> Policy {
    let versions: Vec<_> = (0..sizes.versions).map(version).collect();
    let allowed: Vec<_> = (0..ALLOWED_VERSIONS).map(key::Version::at).collect();
    let customers: Vec<_> = (0..sizes.customers).map(customer).collect();
    let allowances = (0..customers.len()).map(|it| Allowance {
        customer: key::Customer::at(it),
        versions: allowed.clone(),
    });
    let profile = Profile {
        name: ProfileName::from("profile"),
        allowed: allowances.collect(),
        target: 0.9,
        cap: None,
        retry_policy: RetryPolicy::Idempotent,
        priority: Priority::Interactive,
        deadline: Duration::from_secs(30),
    };
    Policy {
        versions,
        profiles: vec![profile],
        customers,
        ..Policy::default()
    }
}

fn version(number: u32) -> Version {
    let price = Money(1_000_000 * u64::from(number + 1));
    Version {
        id: VersionId::from(format!("model-{number}@1")),
        state: decide::policy::State::Active,
        prompt_price: price,
        completion_price: price,
    }
}

fn customer(number: u32) -> Customer {
    Customer {
        name: kernel::Customer::from(format!("customer-{number}")),
        rate: 1e9,
        burst: 1e9,
        concurrency: 1_000_000,
        weight: 1.0,
    }
}

fn endpoint(number: u32, policy: &Policy) -> Update {
    let name = HostName::from(format!("engine-{number}"));
    let versions: Vec<_> = policy.versions.iter().map(|it| it.id.clone()).collect();
    Update {
        id: Id::new(&name, Incarnation(1)),
        role: Role::Engine(versions.into()),
        distance: Distance::DataCentre,
        state: State::Live,
        load: Some(Load {
            running: 1,
            waiting: 0,
            slots: 64,
            age: Duration::ZERO,
        }),
    }
}
