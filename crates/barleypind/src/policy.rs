//! Conversion of the configuration into the decider's policy.

use std::collections::HashMap;
use std::sync::Arc;

use config::{Document, RolloutState, VersionState};
use decide::key;
use decide::policy::{
    Allowance, Customer, Policy, Priority, Profile, RetryPolicy, Rollout, RolloutMode, Service,
    State, Version,
};
use kernel::VersionId;

/// Maximum number of concurrent requests of this host to a plain service.
const SERVICE_CONCURRENCY: u32 = 1024;

/// Compiles `document` into a policy. References to missing entries are left out; a committed
/// document has none.
#[must_use]
pub(crate) fn compile(document: &Document) -> Policy {
    let versions = Index::new(document.versions.keys());
    let customers: HashMap<_, _> = document
        .customers
        .keys()
        .enumerate()
        .map(|(index, name)| (name, key::Customer::at(index)))
        .collect();
    Policy {
        revision: document.revision,
        versions: document
            .versions
            .iter()
            .map(|(id, it)| version(document, id, it))
            .collect(),
        profiles: document
            .profiles
            .iter()
            .map(|(name, it)| Profile {
                name: name.clone(),
                allowed: allowances(it, &customers, &versions),
                target: it.quality,
                cap: Some(it.cost_cap),
                retry_policy: retry_policy(it.retry_policy),
                priority: priority(it.priority),
                deadline: it.deadline,
            })
            .collect(),
        customers: document
            .customers
            .iter()
            .map(|(name, it)| Customer {
                name: name.clone(),
                rate: f64::from(it.rate),
                burst: f64::from(it.burst),
                concurrency: it.concurrency,
                weight: f64::from(it.weight),
            })
            .collect(),
        services: document
            .services
            .iter()
            .map(|(name, it)| Service {
                name: name.clone(),
                retry_policy: RetryPolicy::AtMostOnce,
                priority: Priority::Interactive,
                deadline: it.total,
                concurrency: SERVICE_CONCURRENCY,
            })
            .collect(),
        rollouts: document
            .rollouts
            .iter()
            .filter_map(|(id, it)| rollout(id, it, &versions))
            .collect(),
    }
}

/// Converts a retry policy into the decider's form.
#[must_use]
pub(crate) fn retry_policy(policy: config::RetryPolicy) -> RetryPolicy {
    match policy {
        config::RetryPolicy::Idempotent => RetryPolicy::Idempotent,
        config::RetryPolicy::AtMostOnce => RetryPolicy::AtMostOnce,
    }
}

/// Converts a priority into the decider's form.
#[must_use]
pub(crate) fn priority(priority: config::Priority) -> Priority {
    match priority {
        config::Priority::Urgent => Priority::Urgent,
        config::Priority::Interactive => Priority::Interactive,
        config::Priority::Batch => Priority::Batch,
    }
}

struct Index<'a>(HashMap<&'a VersionId, key::Version>);

impl<'a> Index<'a> {
    fn new(ids: impl Iterator<Item = &'a VersionId>) -> Self {
        Self(
            ids.enumerate()
                .map(|(index, id)| (id, key::Version::at(index)))
                .collect(),
        )
    }

    fn get(&self, id: &VersionId) -> Option<key::Version> {
        self.0.get(id).copied()
    }
}

fn version(document: &Document, id: &VersionId, version: &config::Version) -> Version {
    let state = match (version.state, document.rollouts.get(id)) {
        (VersionState::Withdrawn, _) => State::Withdrawn,
        (VersionState::Active, Some(rollout)) if rollout.state != RolloutState::Done => {
            State::Trial(rollout.share())
        }
        (VersionState::Active, _) => State::Active,
    };
    Version {
        id: id.clone(),
        state,
        prompt_price: version.prompt,
        completion_price: version.completion,
    }
}

fn allowances(
    profile: &config::Profile,
    customers: &HashMap<&kernel::Customer, key::Customer>,
    versions: &Index<'_>,
) -> Vec<Allowance> {
    profile
        .customers
        .iter()
        .filter_map(|(name, grant)| {
            let allow = grant.allow.as_ref().unwrap_or(&profile.allow);
            Some(Allowance {
                customer: *customers.get(name)?,
                versions: allow.iter().filter_map(|id| versions.get(id)).collect(),
            })
        })
        .collect()
}

fn rollout(id: &VersionId, rollout: &config::Rollout, versions: &Index<'_>) -> Option<Rollout> {
    let mode = match rollout.state {
        RolloutState::Running => RolloutMode::Running,
        RolloutState::Paused => RolloutMode::Paused,
        RolloutState::Aborted | RolloutState::Done => return None,
    };
    Some(Rollout {
        id: Arc::from(id.as_str()),
        version: versions.get(id)?,
        replaces: versions.get(&rollout.replaces),
        mode,
    })
}
