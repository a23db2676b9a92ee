//! Properties of the parsers for arbitrary texts, and of arbitrary changes.

use config::{
    ApplyError, Change, ChangeMode, Document, Edit, Entry, EntryFile, EntryKind, EntryName,
    Settings,
};
use config::{
    Customer, Grant, Priority, Profile, RetryPolicy, Rollout, RolloutState, Service, Version,
};
use config::{VersionState, WhenStale};
use kernel::{Money, Revision, VersionId};
use proptest::prelude::*;

/// Generates texts that resemble settings or entries, so that the parsers get
/// beyond the first token.
fn text() -> impl Strategy<Value = String> {
    let line = prop_oneof![
        Just("[limits]".to_owned()),
        Just("[customers.desk]".to_owned()),
        Just("[[routes]]".to_owned()),
        Just("allow = [\"oak@1\"]".to_owned()),
        "(max_in_flight|quality|allow|steps|repeat|prefix|key_blake3|name) = [-0-9a-z.\"\\[\\]]{0,8}",
        "\\PC{0,20}",
    ];
    prop::collection::vec(line, 0..12).prop_map(|lines| lines.join("\n"))
}

/// Generates version ids. `elm` isn't a valid id: it has no `@`.
fn version() -> impl Strategy<Value = VersionId> {
    prop::sample::select(vec!["oak@1", "oak@2", "fern@1", "elm"]).prop_map(VersionId::from)
}

fn versions() -> impl Strategy<Value = Vec<VersionId>> {
    prop::collection::vec(version(), 0..3)
}

fn profile() -> impl Strategy<Value = Entry> {
    let grant = prop::option::of(versions()).prop_map(|allow| Grant { allow });
    let customer = prop::sample::select(vec!["desk", "portal"]).prop_map(Into::into);
    let customers = prop::collection::btree_map(customer, grant, 0..2);
    (versions(), 0.0..1.2, 0..3_u64, customers).prop_map(|(allow, quality, cap, customers)| {
        Entry::Profile(Profile {
            allow,
            quality,
            cost_cap: Money(cap),
            retry_policy: RetryPolicy::Idempotent,
            priority: Priority::Interactive,
            deadline: std::time::Duration::from_secs(1),
            max_tokens: 10,
            when_stale: WhenStale::Refuse,
            customers,
            changed: Revision(77),
        })
    })
}

/// Generates entries at a revision that [`Document::apply`] has to replace.
fn entry() -> impl Strategy<Value = Entry> {
    let state = prop::sample::select(vec![VersionState::Active, VersionState::Withdrawn]);
    let version_entry = (state, 0..3_u64).prop_map(|(state, price)| {
        Entry::Version(Version {
            state,
            prompt: Money(price),
            completion: Money(1),
            changed: Revision(77),
        })
    });
    let customer = (0..3_u8, 0..2_u32).prop_map(|(key, weight)| {
        Entry::Customer(Customer {
            key_blake3: Customer::hash(&[key]),
            rate: 1,
            burst: 1,
            concurrency: 1,
            weight,
            changed: Revision(77),
        })
    });
    let rollout = (version(), 0..3_usize).prop_map(|(replaces, step)| {
        Entry::Rollout(Rollout {
            replaces,
            steps: vec![0.5, 1.0],
            state: RolloutState::Running,
            step,
            step_revision: Revision(77),
            changed: Revision(77),
        })
    });
    let service = (1..3_u64).prop_map(|seconds| {
        Entry::Service(Service {
            first_byte: std::time::Duration::from_secs(2),
            total: std::time::Duration::from_secs(seconds),
            routes: Vec::new(),
            changed: Revision(77),
        })
    });
    prop_oneof![4 => version_entry, 3 => profile(), 2 => customer, 2 => rollout, 1 => service]
}

/// Generates the name of an entry, its new state (`None` to remove it), a mode, and
/// whether the change's base is the entry's current revision; otherwise it is 3.
fn edit() -> impl Strategy<Value = (EntryName, Option<Entry>, ChangeMode, bool)> {
    let name = prop::sample::select(vec!["oak@1", "oak@2", "fern@1", "desk", "portal"]);
    let mode = prop::sample::select(vec![ChangeMode::Guarded, ChangeMode::Forced]);
    let put = prop::option::weighted(0.8, Just(()));
    (name, entry(), mode, put, any::<bool>()).prop_map(
        |(name, entry, mode, put, is_current_base)| {
            let name = EntryName::new(entry.kind(), name);
            (name, put.map(|()| entry), mode, is_current_base)
        },
    )
}

proptest! {
    #[test]
    fn parsers_never_panic_and_a_shown_file_parses_to_the_same_entry(text in text()) {
        for kind in EntryKind::ALL {
            let name = EntryName::new(kind, "some");
            if let Ok(file) = EntryFile::parse(kind, &text, "file.toml") {
                let shown = EntryFile::show(&name, &file.entry);
                let reparsed = EntryFile::parse(kind, &shown, "shown.toml").expect("a valid file");
                prop_assert_eq!(reparsed.entry, file.entry);
            }
            let _ = Entry::from_json(kind, text.as_bytes());
        }
        let _ = Settings::parse(&text, "host.toml");
        let _ = Document::parse(&text);
    }

    #[test]
    fn accepted_changes_give_a_valid_document_at_the_next_revision(
        edits in prop::collection::vec(edit(), 1..40),
    ) {
        let mut document = Document::default();
        for (name, entry, mode, is_current_base) in edits {
            let current = document.entry(&name).map_or(Revision(0), |entry| entry.changed());
            let base = if is_current_base { current } else { Revision(3) };
            let edit = match entry {
                Some(entry) => Edit::put(name.clone(), entry).expect("the kinds match"),
                None => Edit::remove(name.clone()),
            };
            let change = Change { id: "c".into(), base, author: String::new(), mode, edit };
            match document.apply(&change) {
                Ok(next) => {
                    prop_assert_eq!(base, current);
                    prop_assert_eq!(next.revision, document.revision.next());
                    prop_assert!(next.faults().is_empty(), "{}", next.faults());
                    if let Some(entry) = next.entry(&name) {
                        prop_assert_eq!(entry.changed(), next.revision);
                    }
                    let reparsed = Document::parse(&next.to_json()).expect("a valid document");
                    prop_assert_eq!(&reparsed, &next);
                    document = next;
                }
                Err(ApplyError::Conflict(conflict)) => {
                    prop_assert_eq!(conflict.current_revision, current);
                    prop_assert_ne!(base, current);
                }
                Err(ApplyError::Faults(faults)) => prop_assert!(!faults.is_empty()),
            }
        }
    }
}
