//! The whole configuration, and how a change makes the next one.

use std::collections::BTreeMap;

use derive_more::{Display, Error, From};
use kernel::{Customer as CustomerName, ProfileName, Revision, ServiceName, VersionId};
use serde::{Deserialize, Serialize};

use crate::{
    Change, Customer, Edit, Entry, Faults, Name, Profile, Rollout, Service, Version, check,
};

/// The whole configuration at one revision: the value of the table row
/// `config/head`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// The number of this configuration; zero is the empty one that nobody committed.
    pub revision: Revision,
    /// The versions of models, as `model@version`.
    #[serde(default)]
    pub versions: BTreeMap<VersionId, Version>,
    /// The profiles.
    #[serde(default)]
    pub profiles: BTreeMap<ProfileName, Profile>,
    /// The customers.
    #[serde(default)]
    pub customers: BTreeMap<CustomerName, Customer>,
    /// The plain services.
    #[serde(default)]
    pub services: BTreeMap<ServiceName, Service>,
    /// The roll-outs, by the version that is rolled out.
    #[serde(default)]
    pub rollouts: BTreeMap<VersionId, Rollout>,
}

impl Document {
    /// Reads the value of the table row `config/head`.
    ///
    /// # Errors
    /// The first place where the text isn't a document.
    pub fn parse(text: &str) -> Result<Self, serde_json::Error> {
        serde_json::from_str(text)
    }

    /// The value of the table row `config/head`.
    #[must_use]
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("every map of a document has text keys")
    }

    /// The document after `change`, at the next revision.
    ///
    /// A change conflicts when its *entry* changed since the change's base,
    /// so that operators who edit two different entries don't disturb each
    /// other. The caller makes the result durable by a conditional write
    /// against the revision that it read, and applies the change again to
    /// the newer document when that write fails.
    ///
    /// # Errors
    /// [`Refused::Conflict`] when the entry isn't as the change's author saw
    /// it, [`Refused::Faults`] with every fault that the next document would have.
    pub fn apply(&self, change: &Change) -> Result<Self, Refused> {
        let name = change.edit.name();
        let current = self.entry(&name);
        let changed = current.as_ref().map_or(Revision(0), Entry::changed);
        if changed != change.base {
            return Err(Refused::Conflict(Box::new(Conflict {
                entry: name,
                current,
                current_revision: changed,
            })));
        }
        let next = self.with(&change.edit);
        let faults = check::change(self, change, &next);
        if faults.0.is_empty() {
            Ok(next)
        } else {
            Err(Refused::Faults(faults))
        }
    }

    /// Every fault of the document as it stands; none in one that
    /// [`Document::apply`] made out of one that had none.
    #[must_use]
    pub fn faults(&self) -> Faults {
        check::document(self)
    }

    /// The entry of that name.
    #[must_use]
    pub fn entry(&self, name: &Name) -> Option<Entry> {
        match name {
            Name::Version(id) => self.versions.get(id).cloned().map(Entry::from),
            Name::Profile(name) => self.profiles.get(name).cloned().map(Entry::from),
            Name::Customer(name) => self.customers.get(name).cloned().map(Entry::from),
            Name::Service(name) => self.services.get(name).cloned().map(Entry::from),
            Name::Rollout(id) => self.rollouts.get(id).cloned().map(Entry::from),
        }
    }

    /// The names of all entries, by kind and name.
    pub fn names(&self) -> impl Iterator<Item = Name> {
        let versions = self.versions.keys().cloned().map(Name::Version);
        let profiles = self.profiles.keys().cloned().map(Name::Profile);
        let customers = self.customers.keys().cloned().map(Name::Customer);
        let services = self.services.keys().cloned().map(Name::Service);
        let rollouts = self.rollouts.keys().cloned().map(Name::Rollout);
        versions
            .chain(profiles)
            .chain(customers)
            .chain(services)
            .chain(rollouts)
    }

    /// The versions that may answer `customer` under `profile` now: allowed
    /// to it, known and not withdrawn. Empty also when there is no such profile.
    #[must_use]
    pub fn usable(&self, profile: &ProfileName, customer: &CustomerName) -> Vec<VersionId> {
        let allowed = self
            .profiles
            .get(profile)
            .and_then(|profile| profile.allowed(customer))
            .unwrap_or_default();
        let active = |id: &&VersionId| self.versions.get(*id).is_some_and(Version::is_active);
        allowed.iter().filter(active).cloned().collect()
    }

    /// The customer whose bearer key this is.
    ///
    /// The lookup compares hashes, so its time tells nothing of the key.
    #[must_use]
    pub fn customer_of(&self, key: &[u8]) -> Option<&CustomerName> {
        let hash = Customer::hash(key);
        let mut customers = self.customers.iter();
        customers
            .find(|(_, customer)| customer.key_blake3 == hash)
            .map(|(name, _)| name)
    }

    fn with(&self, edit: &Edit) -> Self {
        let mut next = self.clone();
        next.revision = self.revision.next();
        let changed = next.revision;
        match edit.clone() {
            Edit::PutVersion(id, it) => {
                next.versions.insert(id, Version { changed, ..it });
            }
            Edit::RemoveVersion(id) => {
                next.versions.remove(&id);
            }
            Edit::PutProfile(name, it) => {
                next.profiles.insert(name, Profile { changed, ..it });
            }
            Edit::RemoveProfile(name) => {
                next.profiles.remove(&name);
            }
            Edit::PutCustomer(name, it) => {
                next.customers.insert(name, Customer { changed, ..it });
            }
            Edit::RemoveCustomer(name) => {
                next.customers.remove(&name);
            }
            Edit::PutService(name, it) => {
                next.services.insert(name, Service { changed, ..it });
            }
            Edit::RemoveService(name) => {
                next.services.remove(&name);
            }
            Edit::PutRollout(id, it) => {
                let begun = self.begun(&id, &it).unwrap_or(changed);
                let rollout = Rollout {
                    begun,
                    changed,
                    ..it
                };
                next.rollouts.insert(id, rollout);
            }
            Edit::RemoveRollout(id) => {
                next.rollouts.remove(&id);
            }
        }
        next
    }

    /// The revision with which the roll-out's step began, when the step stays the same.
    fn begun(&self, id: &VersionId, next: &Rollout) -> Option<Revision> {
        let current = self.rollouts.get(id)?;
        let stays = current.step == next.step && current.state == next.state;
        stays.then_some(current.begun)
    }
}

/// Why a change was not accepted.
#[derive(Clone, Debug, Display, Error, From, PartialEq)]
pub enum Refused {
    /// The entry changed since the change's base.
    #[display("{_0}")]
    Conflict(#[error(not(source))] Box<Conflict>),
    /// The next document would make no sense.
    #[display("{_0}")]
    Faults(#[error(not(source))] Faults),
}

/// The entry as it is, where the change's author saw another.
#[derive(Clone, Debug, Display, PartialEq)]
#[display("{}", self.describe())]
pub struct Conflict {
    /// Which entry.
    pub entry: Name,
    /// The entry now; nothing when it doesn't exist.
    pub current: Option<Entry>,
    /// The revision that last changed it; zero when it doesn't exist.
    pub current_revision: Revision,
}

impl Conflict {
    fn describe(&self) -> String {
        match self.current {
            Some(_) => format!("{} is at revision {}", self.entry, self.current_revision),
            None => format!("{} does not exist", self.entry),
        }
    }
}
