use decide::{
    Policy, key,
    policy::{
        Allowance, Customer, Priority as CorePriority, Profile, RetryPolicy, Rollout, RolloutMode,
        Service, State as CoreState, Version,
    },
};
use kernel::{ProfileName, ServiceName};

use super::id_map;
use crate::{
    configuration::{Configuration, State},
    ground_truth::VersionIdx,
    workload::{Call, Class, Priority, World},
};

/// A customer's rate limit as a multiple of its usual rate.
const RATE_HEADROOM: f64 = 40.0;

/// A customer's burst, in seconds of its rate limit.
const BURST_SECONDS: f64 = 5.0;

/// A customer's concurrency limit beyond 20, in seconds of its usual rate.
const CONCURRENCY_SECONDS: f64 = 2_000.0;

/// Maximum calls of the plain service in flight from one host.
const SERVICE_CONCURRENCY: u32 = 64;

/// Compiles the configuration to a policy.
pub(super) fn compile(world: &World, configuration: &Configuration) -> Policy {
    Policy {
        revision: configuration.revision,
        versions: versions(world, configuration),
        profiles: profiles(world, configuration),
        customers: (0..world.customers.len())
            .map(|it| customer(world, it))
            .collect(),
        services: vec![Service {
            name: ServiceName::from(world.service),
            retry_policy: RetryPolicy::AtMostOnce,
            priority: CorePriority::Interactive,
            deadline: std::time::Duration::from_secs(5),
            concurrency: SERVICE_CONCURRENCY,
        }],
        rollouts: rollouts(configuration),
    }
}

pub(super) fn priority(priority: Priority) -> CorePriority {
    match priority {
        Priority::Urgent => CorePriority::Urgent,
        Priority::Interactive => CorePriority::Interactive,
        Priority::Batch => CorePriority::Batch,
    }
}

pub(super) fn retry_policy(class: &Class) -> RetryPolicy {
    if class.idempotent {
        RetryPolicy::Idempotent
    } else {
        RetryPolicy::AtMostOnce
    }
}

fn versions(world: &World, configuration: &Configuration) -> Vec<Version> {
    VersionIdx::ALL
        .into_iter()
        .map(|it| Version {
            id: id_map::version_id(it),
            state: match configuration.states[it.idx()] {
                State::Active => CoreState::Active,
                State::Trial(share) => CoreState::Trial(share),
                State::Unlisted | State::Withdrawn => CoreState::Withdrawn,
            },
            prompt_price: world.version(it).prompt_price,
            completion_price: world.version(it).completion_price,
        })
        .collect()
}

fn profiles(world: &World, configuration: &Configuration) -> Vec<Profile> {
    let allowed = VersionIdx::ALL
        .into_iter()
        .filter(|it| configuration.states[it.idx()] != State::Unlisted)
        .map(id_map::version_key)
        .collect::<Vec<_>>();
    let models = world.classes.iter().filter(|it| it.is_model());
    models
        .map(|class| Profile {
            name: ProfileName::from(class.name),
            allowed: (0..world.customers.len())
                .map(|customer| Allowance {
                    customer: key::Customer::at(customer),
                    versions: allowed.clone(),
                })
                .collect(),
            target: class.target(),
            cap: None,
            retry_policy: retry_policy(class),
            priority: priority(class.priority),
            deadline: class.deadline,
        })
        .collect()
}

fn customer(world: &World, customer: usize) -> Customer {
    let usual = world
        .classes
        .iter()
        .map(|class| class.rate * turns(class) * world.share(customer))
        .sum::<f64>();
    Customer {
        name: world.customers[customer].name.into(),
        rate: usual * RATE_HEADROOM,
        burst: usual * RATE_HEADROOM * BURST_SECONDS,
        concurrency: floor_to_u32(usual * CONCURRENCY_SECONDS) + 20,
        weight: f64::from(world.customers[customer].weight),
    }
}

fn turns(class: &Class) -> f64 {
    match &class.call {
        Call::Model { turns, .. } => f64::from(turns.low + turns.high) / 2.0,
        Call::Plain { .. } => 1.0,
    }
}

/// Rounds down to an integer.
fn floor_to_u32(amount: f64) -> u32 {
    std::time::Duration::from_secs_f64(amount)
        .as_secs()
        .try_into()
        .unwrap_or(u32::MAX)
}

fn rollouts(configuration: &Configuration) -> Vec<Rollout> {
    let rollout = configuration.rollout.map(|(version, replaces)| Rollout {
        id: version.name().into(),
        version: id_map::version_key(version),
        replaces: Some(id_map::version_key(replaces)),
        mode: RolloutMode::Running,
    });
    rollout.into_iter().collect()
}
