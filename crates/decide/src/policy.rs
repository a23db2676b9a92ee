//! The configuration, compiled for routing decisions.

mod customer;
mod profile;
mod rollout;
mod service;
mod version;

use kernel::{ProfileName, Revision, ServiceName, VersionId};

use crate::key;

pub use customer::Customer;
pub use profile::{Allowance, Priority, Profile, RetryPolicy};
pub use rollout::{Rollout, RolloutMode};
pub use service::Service;
pub use version::{State, Version};

/// One revision of the configuration, compiled by the driver.
///
/// Its keys are indices into its own lists. The driver never modifies a policy
/// once it is built.
#[derive(Clone, Debug, Default)]
pub struct Policy {
    /// The configuration revision; a policy of a lower revision than the current
    /// one is ignored.
    pub revision: Revision,
    /// All versions, including withdrawn ones.
    pub versions: Vec<Version>,
    /// All profiles.
    pub profiles: Vec<Profile>,
    /// All customers.
    pub customers: Vec<Customer>,
    /// All plain services.
    pub services: Vec<Service>,
    /// Roll-outs in progress.
    pub rollouts: Vec<Rollout>,
}

impl Policy {
    /// Returns the key of the version with this identifier.
    #[must_use]
    pub fn version(&self, id: &VersionId) -> Option<key::Version> {
        let at = self.versions.iter().position(|it| it.id == *id)?;
        Some(key::Version::at(at))
    }

    /// Returns the key of the profile with this name.
    #[must_use]
    pub fn profile(&self, name: &ProfileName) -> Option<key::Profile> {
        let at = self.profiles.iter().position(|it| it.name == *name)?;
        Some(key::Profile::at(at))
    }

    /// Returns the key of the customer with this name.
    #[must_use]
    pub fn customer(&self, name: &kernel::Customer) -> Option<key::Customer> {
        let at = self.customers.iter().position(|it| it.name == *name)?;
        Some(key::Customer::at(at))
    }

    /// Returns the key of the plain service with this name.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<key::Service> {
        let at = self.services.iter().position(|it| it.name == *name)?;
        Some(key::Service::at(at))
    }

    /// Returns the versions that `customer` may use through `profile`; empty if
    /// either is unknown.
    #[must_use]
    pub fn allowed(&self, profile: key::Profile, customer: key::Customer) -> &[key::Version] {
        let Some(profile) = self.profiles.get(profile.index()) else {
            return &[];
        };
        let mut allowances = profile.allowed.iter();
        allowances
            .find(|it| it.customer == customer)
            .map_or(&[], |it| &it.versions)
    }

    /// Returns whether new requests of `customer` through `profile` may use `version`.
    #[must_use]
    pub fn permits(
        &self,
        profile: key::Profile,
        customer: key::Customer,
        version: key::Version,
    ) -> bool {
        let usable = self
            .versions
            .get(version.index())
            .is_some_and(|it| it.state != State::Withdrawn);
        usable && self.allowed(profile, customer).contains(&version)
    }
}
