//! The versions that may serve each customer under each profile.

use std::collections::{BTreeMap, BTreeSet};

/// The allowed versions by customer and profile.
#[derive(Clone, Debug, Default)]
pub struct AllowedVersions {
    versions: BTreeMap<(String, String), BTreeSet<String>>,
}

impl AllowedVersions {
    /// Allows these versions to serve a customer under a profile.
    pub fn insert(&mut self, customer: &str, profile: &str, versions: &[&str]) {
        let key = (customer.to_owned(), profile.to_owned());
        let versions = versions.iter().map(|it| (*it).to_owned());
        self.versions.entry(key).or_default().extend(versions);
    }

    /// Returns whether the version may serve the customer under the profile.
    #[must_use]
    pub fn contains(&self, customer: &str, profile: &str, version: &str) -> bool {
        self.versions
            .get(&(customer.to_owned(), profile.to_owned()))
            .is_some_and(|it| it.contains(version))
    }
}
