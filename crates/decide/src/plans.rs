//! Plans that were made, to be used again.

use std::collections::HashMap;
use std::time::Duration;

use crate::knowledge::ClassIndex;
use crate::planner::Mix;
use crate::{Policy, key};

/// How long a plan is used at least, while more is learned.
const FRESH: Duration = Duration::from_secs(1);
/// How long it is used at most.
const STALE: Duration = Duration::from_secs(10);

/// A set of allowed versions that customers of profiles share.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Menu(usize);

/// Plans that were made, by profile, menu and class.
#[derive(Debug, Default)]
pub(crate) struct Plans {
    menus: Vec<Vec<key::Version>>,
    /// By profile, then by customer.
    chosen: Vec<Vec<Option<Menu>>>,
    entries: HashMap<Name, Entry>,
}

/// What a plan is made for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Name {
    pub(crate) profile: key::Profile,
    pub(crate) menu: Menu,
    pub(crate) class: ClassIndex,
    /// The most steps.
    pub(crate) steps: usize,
}

/// A plan that was made.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Entry {
    pub(crate) mix: Mix,
    /// A version of which more ought to be known, and the share of requests to try it on.
    pub(crate) explore: Option<Explore>,
    /// The quarantined version that has to be used for want of others.
    pub(crate) last_resort: Option<key::Version>,
    pub(crate) made: Duration,
    /// The state of the knowledge it rests on.
    pub(crate) changes: u64,
}

/// A version of which more ought to be known.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Explore {
    pub(crate) version: key::Version,
    pub(crate) share: f64,
}

impl Plans {
    /// Forgets all and finds the menus of the policy.
    pub(crate) fn configure(&mut self, policy: &Policy) {
        self.entries.clear();
        self.menus.clear();
        self.chosen.clear();
        for profile in &policy.profiles {
            let mut chosen = vec![None; policy.customers.len()];
            for allowance in &profile.allowed {
                if let Some(it) = chosen.get_mut(allowance.customer.index()) {
                    *it = Some(menu(&mut self.menus, &allowance.versions));
                }
            }
            self.chosen.push(chosen);
        }
    }

    /// Forgets all plans: a version's health or its endpoints changed.
    pub(crate) fn invalidate(&mut self) {
        self.entries.clear();
    }

    pub(crate) fn menu(&self, profile: key::Profile, customer: key::Customer) -> Option<Menu> {
        *self.chosen.get(profile.index())?.get(customer.index())?
    }

    /// The plan, unless what is known has changed since.
    pub(crate) fn get(&self, now: Duration, changes: u64, name: Name) -> Option<Entry> {
        let it = self.entries.get(&name)?;
        let age = now.saturating_sub(it.made);
        let learned = changes.saturating_sub(it.changes);
        // Early on each rating may change the plan; later few do.
        let enough = learned * 50 > it.changes;
        let fresh = age < FRESH || (age < STALE && !enough);
        fresh.then_some(*it)
    }

    pub(crate) fn insert(&mut self, name: Name, entry: Entry) {
        self.entries.insert(name, entry);
    }
}

fn menu(menus: &mut Vec<Vec<key::Version>>, versions: &[key::Version]) -> Menu {
    let mut versions = versions.to_vec();
    versions.sort_unstable();
    versions.dedup();
    let known = menus.iter().position(|it| *it == versions);
    Menu(known.unwrap_or_else(|| {
        menus.push(versions);
        menus.len() - 1
    }))
}
