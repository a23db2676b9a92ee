//! A cache of plans.

use std::collections::HashMap;
use std::time::Duration;

use crate::knowledge::ClassIndex;
use crate::planner::Mix;
use crate::{Policy, key};

/// A plan below this age is reused even if much was learned since.
const ALWAYS_REUSED_AGE: Duration = Duration::from_secs(1);
/// The maximum age of a reused plan.
const MAX_AGE: Duration = Duration::from_secs(10);

/// Identifies a set of allowed versions. Customers with the same set share the plans
/// of a profile.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct VersionSetId(usize);

/// A cache of plans by profile, set of allowed versions, class and maximum number
/// of steps.
#[derive(Debug, Default)]
pub(crate) struct PlanCache {
    version_sets: Vec<Vec<key::Version>>,
    /// Indexed by profile, then by customer.
    set_ids: Vec<Vec<Option<VersionSetId>>>,
    entries: HashMap<PlanKey, CachedPlan>,
}

/// The key of a cached plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PlanKey {
    pub(crate) profile: key::Profile,
    pub(crate) version_set: VersionSetId,
    pub(crate) class: ClassIndex,
    /// The maximum number of steps.
    pub(crate) steps: usize,
}

/// A cached plan.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CachedPlan {
    pub(crate) mix: Mix,
    /// The version to explore, if any.
    pub(crate) explore: Option<Exploration>,
    /// The quarantined version that is used because there is no other.
    pub(crate) last_resort: Option<key::Version>,
    pub(crate) made_at: Duration,
    /// The revision of the knowledge when the plan was made.
    pub(crate) knowledge_revision: u64,
}

/// A version that is tried on a share of requests to learn more about it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Exploration {
    pub(crate) version: key::Version,
    pub(crate) share: f64,
}

impl PlanCache {
    /// Clears the cache and indexes the sets of allowed versions of `policy`.
    pub(crate) fn configure(&mut self, policy: &Policy) {
        self.entries.clear();
        self.version_sets.clear();
        self.set_ids.clear();
        for profile in &policy.profiles {
            let mut by_customer = vec![None; policy.customers.len()];
            for allowance in &profile.allowed {
                if let Some(it) = by_customer.get_mut(allowance.customer.index()) {
                    *it = Some(intern(&mut self.version_sets, &allowance.versions));
                }
            }
            self.set_ids.push(by_customer);
        }
    }

    /// Drops all plans. Called when a version's verdict changes, when an endpoint
    /// update gives a version or service its first endpoint or removes its last
    /// one, and when a digest arrives.
    pub(crate) fn invalidate(&mut self) {
        self.entries.clear();
    }

    pub(crate) fn version_set(
        &self,
        profile: key::Profile,
        customer: key::Customer,
    ) -> Option<VersionSetId> {
        *self.set_ids.get(profile.index())?.get(customer.index())?
    }

    /// Returns the cached plan if it is younger than [`ALWAYS_REUSED_AGE`], or younger
    /// than [`MAX_AGE`] and not outdated.
    pub(crate) fn get(
        &self,
        now: Duration,
        knowledge_revision: u64,
        key: PlanKey,
    ) -> Option<CachedPlan> {
        let it = self.entries.get(&key)?;
        let age = now.saturating_sub(it.made_at);
        let learned = knowledge_revision.saturating_sub(it.knowledge_revision);
        // Outdated if the knowledge revision has grown by more than 2 %.
        let outdated = learned * 50 > it.knowledge_revision;
        let reusable = age < ALWAYS_REUSED_AGE || (age < MAX_AGE && !outdated);
        reusable.then_some(*it)
    }

    pub(crate) fn insert(&mut self, key: PlanKey, entry: CachedPlan) {
        self.entries.insert(key, entry);
    }
}

fn intern(version_sets: &mut Vec<Vec<key::Version>>, versions: &[key::Version]) -> VersionSetId {
    let mut versions = versions.to_vec();
    versions.sort_unstable();
    versions.dedup();
    let known = version_sets.iter().position(|it| *it == versions);
    VersionSetId(known.unwrap_or_else(|| {
        version_sets.push(versions);
        version_sets.len() - 1
    }))
}
