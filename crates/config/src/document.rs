//! The configuration document and the application of changes to it.

use std::collections::BTreeMap;

use derive_more::{Display, Error, From};
use kernel::{Customer as CustomerName, ProfileName, Revision, ServiceName, VersionId};
use serde::{Deserialize, Serialize};

use crate::{
    Change, Customer, Edit, Entry, EntryName, Faults, Profile, Rollout, Service, Version, check,
};

/// The whole configuration at one revision: the value of the table row
/// `config/head`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// The revision of the document; zero is the empty document before the first change.
    pub revision: Revision,
    /// The versions of models, by `model@version`.
    #[serde(default)]
    pub versions: BTreeMap<VersionId, Version>,
    /// The profiles, by name.
    #[serde(default)]
    pub profiles: BTreeMap<ProfileName, Profile>,
    /// The customers, by name.
    #[serde(default)]
    pub customers: BTreeMap<CustomerName, Customer>,
    /// The plain services, by name.
    #[serde(default)]
    pub services: BTreeMap<ServiceName, Service>,
    /// The roll-outs, by the id of the new version.
    #[serde(default)]
    pub rollouts: BTreeMap<VersionId, Rollout>,
}

impl Document {
    /// Parses the value of the table row `config/head`.
    ///
    /// # Errors
    /// The first syntax error, or the first field that is unknown, missing or of
    /// the wrong type.
    pub fn parse(text: &str) -> Result<Self, serde_json::Error> {
        serde_json::from_str(text)
    }

    /// Returns the document as the value of the table row `config/head`.
    #[must_use]
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("every map of a document has text keys")
    }

    /// Returns the document after `change`, at the next revision.
    ///
    /// Conflicts are detected by entry, so changes to different entries never
    /// conflict. The caller stores the result with a conditional write on the
    /// revision that it read. If that write fails, it reads the newer document
    /// and applies the change again.
    ///
    /// # Errors
    /// [`ApplyError::Conflict`] if the entry isn't at the change's base revision,
    /// [`ApplyError::Faults`] with all faults for which the change is rejected.
    pub fn apply(&self, change: &Change) -> Result<Self, ApplyError> {
        let name = change.edit.name();
        let current = self.entry(&name);
        let current_revision = current.as_ref().map_or(Revision(0), Entry::changed);
        if current_revision != change.base {
            return Err(ApplyError::Conflict(Box::new(Conflict {
                entry: name,
                current,
                current_revision,
            })));
        }
        let next = self.with_edit(&change.edit);
        let faults = check::change_faults(self, change, &next);
        if faults.0.is_empty() {
            Ok(next)
        } else {
            Err(ApplyError::Faults(faults))
        }
    }

    /// Returns all faults of the document. [`Document::apply`] never adds a fault.
    #[must_use]
    pub fn faults(&self) -> Faults {
        check::document_faults(self)
    }

    /// Returns the entry of that name.
    #[must_use]
    pub fn entry(&self, name: &EntryName) -> Option<Entry> {
        match name {
            EntryName::Version(id) => self.versions.get(id).cloned().map(Entry::from),
            EntryName::Profile(name) => self.profiles.get(name).cloned().map(Entry::from),
            EntryName::Customer(name) => self.customers.get(name).cloned().map(Entry::from),
            EntryName::Service(name) => self.services.get(name).cloned().map(Entry::from),
            EntryName::Rollout(id) => self.rollouts.get(id).cloned().map(Entry::from),
        }
    }

    /// Returns the names of all entries, ordered by kind and name.
    pub fn names(&self) -> impl Iterator<Item = EntryName> {
        let versions = self.versions.keys().cloned().map(EntryName::Version);
        let profiles = self.profiles.keys().cloned().map(EntryName::Profile);
        let customers = self.customers.keys().cloned().map(EntryName::Customer);
        let services = self.services.keys().cloned().map(EntryName::Service);
        let rollouts = self.rollouts.keys().cloned().map(EntryName::Rollout);
        versions
            .chain(profiles)
            .chain(customers)
            .chain(services)
            .chain(rollouts)
    }

    /// Returns the active versions that `profile` allows to `customer`. Empty if
    /// the profile doesn't exist or the customer may not use it.
    #[must_use]
    pub fn usable_versions(
        &self,
        profile: &ProfileName,
        customer: &CustomerName,
    ) -> Vec<VersionId> {
        let allowed = self
            .profiles
            .get(profile)
            .and_then(|profile| profile.allowed(customer))
            .unwrap_or_default();
        let active = |id: &&VersionId| self.versions.get(*id).is_some_and(Version::is_active);
        allowed.iter().filter(active).cloned().collect()
    }

    /// Returns the customer with this bearer key.
    ///
    /// The lookup compares hashes, so its timing doesn't leak the key.
    #[must_use]
    pub fn customer_by_key(&self, key: &[u8]) -> Option<&CustomerName> {
        let hash = Customer::hash(key);
        let mut customers = self.customers.iter();
        customers
            .find(|(_, customer)| customer.key_blake3 == hash)
            .map(|(name, _)| name)
    }

    fn with_edit(&self, edit: &Edit) -> Self {
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
                let step_revision = self.unchanged_step_revision(&id, &it).unwrap_or(changed);
                let rollout = Rollout {
                    step_revision,
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

    /// Returns the revision at which the roll-out's step began, if `next` keeps the step
    /// and the state.
    fn unchanged_step_revision(&self, id: &VersionId, next: &Rollout) -> Option<Revision> {
        let current = self.rollouts.get(id)?;
        let is_unchanged = current.step == next.step && current.state == next.state;
        is_unchanged.then_some(current.step_revision)
    }
}

/// The reason for which a change was rejected.
#[derive(Clone, Debug, Display, Error, From, PartialEq)]
pub enum ApplyError {
    /// The entry isn't at the change's base revision.
    #[display("{_0}")]
    Conflict(#[error(not(source))] Box<Conflict>),
    /// The next document, or the change itself, has faults.
    #[display("{_0}")]
    Faults(#[error(not(source))] Faults),
}

/// A conflict: the current entry isn't at the change's base revision.
#[derive(Clone, Debug, Display, PartialEq)]
#[display("{}", self.describe())]
pub struct Conflict {
    /// The name of the entry.
    pub entry: EntryName,
    /// The current entry; `None` if it doesn't exist.
    pub current: Option<Entry>,
    /// The revision that last changed the entry; zero if it doesn't exist.
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
