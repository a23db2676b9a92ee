//! Validation of documents and of changes to them; see docs/reference/profiles.md.

use kernel::{Customer, VersionId};

use crate::entry_check::EntryCheck;
use crate::{
    Change, ChangeMode, Document, Edit, EntryName, Fault, FaultKind, FaultLocation, Faults,
    Profile, RolloutState, Version,
};

/// Returns all faults of the document.
pub(crate) fn document_faults(document: &Document) -> Faults {
    let faults = document
        .names()
        .flat_map(|name| entry_faults(document, &name));
    Faults(faults.collect())
}

/// Returns all faults for which `change` from `current` to `next` is rejected.
///
/// A fault of another entry counts only if `current` doesn't have it. Otherwise
/// a document that an earlier release accepted under weaker rules couldn't be
/// changed any more.
pub(crate) fn change_faults(current: &Document, change: &Change, next: &Document) -> Faults {
    let name = change.edit.name();
    let existing = document_faults(current);
    let mut faults = document_faults(next);
    faults.0.retain(|fault| {
        fault.place == FaultLocation::Entry(name.clone()) || !existing.0.contains(fault)
    });
    let mut check = EntryCheck::new(name);
    check_edit(&mut check, current, change, next);
    faults.0.extend(check.finish());
    faults
}

fn entry_faults(document: &Document, name: &EntryName) -> Vec<Fault> {
    let mut check = EntryCheck::new(name.clone());
    match name {
        EntryName::Version(id) => document.versions[id].check(&mut check),
        EntryName::Profile(name) => document.profiles[name].check(&mut check, document),
        EntryName::Customer(name) => document.customers[name].check(&mut check, name, document),
        EntryName::Service(name) => document.services[name].check(&mut check),
        EntryName::Rollout(id) => document.rollouts[id].check(&mut check, id, document),
    }
    let mut faults = check.finish();
    faults.extend(name.check().err());
    faults
}

/// Checks the rules that depend on the edit, the mode or the current document, and
/// so aren't covered by the faults of the next document.
fn check_edit(check: &mut EntryCheck, current: &Document, change: &Change, next: &Document) {
    match &change.edit {
        Edit::PutProfile(_, profile) => check_allowed_versions(check, profile, next),
        Edit::PutRollout(id, rollout) => {
            let withdrawn = next.versions.get(id).is_some_and(|it| !it.is_active());
            if withdrawn && rollout.state == RolloutState::Running {
                let found = FaultKind::Value(format!("`{id}`"));
                check.report("name", found, "a version that isn't withdrawn".into());
            }
        }
        Edit::PutVersion(id, version) => {
            if change.mode == ChangeMode::Guarded && !version.is_active() {
                check_withdrawal(check, id, current, next);
            }
        }
        Edit::PutCustomer(..) | Edit::PutService(..) => {}
        Edit::RemoveVersion(_)
        | Edit::RemoveProfile(_)
        | Edit::RemoveCustomer(_)
        | Edit::RemoveService(_)
        | Edit::RemoveRollout(_) => {
            if current.entry(&change.edit.name()).is_none() {
                check.report(
                    "name",
                    FaultKind::Missing,
                    "the name of an existing entry".into(),
                );
            }
        }
    }
}

fn check_allowed_versions(check: &mut EntryCheck, profile: &Profile, next: &Document) {
    let withdrawn = |id: &&VersionId| next.versions.get(*id).is_some_and(|it| !it.is_active());
    for id in profile.allow.iter().filter(withdrawn) {
        let found = FaultKind::Value(format!("`{id}`"));
        check.report("allow", found, "a version that isn't withdrawn".into());
    }
}

/// Rejects a withdrawal that takes the last active version from a profile or
/// from a customer of a profile.
fn check_withdrawal(check: &mut EntryCheck, id: &VersionId, current: &Document, next: &Document) {
    if !current.versions.get(id).is_some_and(Version::is_active) {
        return;
    }
    for (name, profile) in &current.profiles {
        let mut without_version: Vec<&Customer> = Vec::new();
        for customer in profile.customers.keys() {
            let usable = current.usable_versions(name, customer);
            if !usable.is_empty() && next.usable_versions(name, customer).is_empty() {
                without_version.push(customer);
            }
        }
        let profile_keeps_version =
            !profile.has_active_version(current) || profile.has_active_version(next);
        if without_version.is_empty() && profile_keeps_version {
            continue;
        }
        let for_customers = match without_version.as_slice() {
            [] => String::new(),
            customers => format!(" for {}", join(customers)),
        };
        check.report(
            "state",
            FaultKind::Harmful,
            format!(
                "profile {name} would have no version left{for_customers}: give it another version \
                 first, or force the withdrawal"
            ),
        );
    }
}

fn join(customers: &[&Customer]) -> String {
    let names: Vec<_> = customers.iter().map(|it| it.as_str()).collect();
    names.join(", ")
}
