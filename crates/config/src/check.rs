//! What a document has to satisfy, and what a change may do to it; see
//! docs/reference/profiles.md.

use kernel::{Customer, VersionId};

use crate::entry_check::EntryCheck;
use crate::{
    Change, Document, Edit, Fault, Faults, Found, Mode, Name, Place, Profile, RolloutState, Version,
};

/// Every fault of the document as it stands.
pub(crate) fn document(document: &Document) -> Faults {
    let faults = document.names().flat_map(|name| entry(document, &name));
    Faults(faults.collect())
}

/// Every fault for which `change`, which makes `next` out of `current`, is refused.
///
/// Faults of other entries count only when the change brings them about: a
/// document that an earlier release accepted under milder rules can still be
/// changed, one entry after the other.
pub(crate) fn change(current: &Document, change: &Change, next: &Document) -> Faults {
    let name = change.edit.name();
    let earlier = document(current);
    let mut faults = document(next);
    faults
        .0
        .retain(|fault| fault.place == Place::Entry(name.clone()) || !earlier.0.contains(fault));
    let mut check = EntryCheck::new(name);
    edit(&mut check, current, change, next);
    faults.0.extend(check.finish());
    faults
}

fn entry(document: &Document, name: &Name) -> Vec<Fault> {
    let mut check = EntryCheck::new(name.clone());
    match name {
        Name::Version(id) => document.versions[id].check(&mut check),
        Name::Profile(name) => document.profiles[name].check(&mut check, document),
        Name::Customer(name) => document.customers[name].check(&mut check, name, document),
        Name::Service(name) => document.services[name].check(&mut check),
        Name::Rollout(id) => document.rollouts[id].check(&mut check, id, document),
    }
    let mut faults = check.finish();
    faults.extend(name.check().err());
    faults
}

/// What a change may not do although the next document makes sense.
fn edit(check: &mut EntryCheck, current: &Document, change: &Change, next: &Document) {
    match &change.edit {
        Edit::PutProfile(_, profile) => name_no_withdrawn(check, profile, next),
        Edit::PutRollout(id, rollout) => {
            let withdrawn = next.versions.get(id).is_some_and(|it| !it.is_active());
            if withdrawn && rollout.state == RolloutState::Running {
                let found = Found::Value(format!("`{id}`"));
                check.add("name", found, "a version that isn't withdrawn".into());
            }
        }
        Edit::PutVersion(id, version) => {
            if change.mode == Mode::Guarded && !version.is_active() {
                leave_none_without(check, id, current, next);
            }
        }
        Edit::PutCustomer(..) | Edit::PutService(..) => {}
        Edit::RemoveVersion(_)
        | Edit::RemoveProfile(_)
        | Edit::RemoveCustomer(_)
        | Edit::RemoveService(_)
        | Edit::RemoveRollout(_) => {
            if current.entry(&change.edit.name()).is_none() {
                check.add("name", Found::Missing, "the name of an entry".into());
            }
        }
    }
}

fn name_no_withdrawn(check: &mut EntryCheck, profile: &Profile, next: &Document) {
    let withdrawn = |id: &&VersionId| next.versions.get(*id).is_some_and(|it| !it.is_active());
    for id in profile.allow.iter().filter(withdrawn) {
        let found = Found::Value(format!("`{id}`"));
        check.add("allow", found, "a version that isn't withdrawn".into());
    }
}

/// Refuses a withdrawal after which somebody who could be answered can't.
fn leave_none_without(check: &mut EntryCheck, id: &VersionId, current: &Document, next: &Document) {
    if !current.versions.get(id).is_some_and(Version::is_active) {
        return;
    }
    for (name, profile) in &current.profiles {
        let mut stranded: Vec<&Customer> = Vec::new();
        for customer in profile.customers.keys() {
            let before = current.usable(name, customer);
            if !before.is_empty() && next.usable(name, customer).is_empty() {
                stranded.push(customer);
            }
        }
        let whole_profile = !profile.has_active(current) || profile.has_active(next);
        if stranded.is_empty() && whole_profile {
            continue;
        }
        let whom = match stranded.as_slice() {
            [] => String::new(),
            some => format!(" for {}", join(some)),
        };
        check.add(
            "state",
            Found::Harmful,
            format!(
                "profile {name} would have no version left{whom}: give it another version first, \
                 or force the withdrawal"
            ),
        );
    }
}

fn join(customers: &[&Customer]) -> String {
    let names: Vec<_> = customers.iter().map(|it| it.as_str()).collect();
    names.join(", ")
}
