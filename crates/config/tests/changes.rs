//! Changes of operators to one document: accepted, conflicting and rejected ones.

use config::{
    ApplyError, Change, ChangeMode, Document, Edit, EntryFile, EntryKind, EntryName, diff,
};
use datadriven::TestCase;
use kernel::Revision;

/// Returns a document with three versions, two customers and the profile `dossier`.
fn document() -> Document {
    let mut document = Document::default();
    let prices = "prompt_microcents_per_million = 100\ncompletion_microcents_per_million = 400\n";
    let profile = "allow = [\"oak@1\", \"oak@2\"]\nquality = 0.9\ncost_cap_microcents = 500\n\
                   repeat = \"idempotent\"\n[customers.desk]\n[customers.portal]\nallow = [\"oak@1\"]\n";
    let customer = |hash: &str| format!("key_blake3 = \"{}\"\n", hash.repeat(32));
    for (kind, name, text) in [
        (EntryKind::Version, "oak@1", prices),
        (EntryKind::Version, "oak@2", prices),
        (EntryKind::Version, "fern@1", prices),
        (EntryKind::Customer, "desk", &customer("0a")),
        (EntryKind::Customer, "portal", &customer("0b")),
        (EntryKind::Profile, "dossier", profile),
    ] {
        let file = EntryFile::parse(kind, text, "start").expect("the initial entries are valid");
        let edit = Edit::put(EntryName::new(kind, name), file.entry).expect("the kinds match");
        document = document
            .apply(&change(edit, 0))
            .expect("the initial entries are valid");
    }
    document
}

fn change(edit: Edit, base: u64) -> Change {
    Change {
        id: "c1".into(),
        base: Revision(base),
        author: "salma".to_owned(),
        mode: ChangeMode::Guarded,
        edit,
    }
}

fn name_of(case: &mut TestCase) -> EntryName {
    let kind: String = case.take_arg("kind").expect("a kind");
    let kind = EntryKind::ALL.into_iter().find(|it| it.to_string() == kind);
    let name: String = case.take_arg("name").expect("a name");
    // An argument can't contain `@`, so the scripts write `.` instead.
    EntryName::new(kind.expect("a known kind"), &name.replace('.', "@"))
}

fn run(document: &mut Document, case: &mut TestCase) -> String {
    let name = name_of(case);
    let edit = match case.directive.as_str() {
        "put" => {
            let file =
                EntryFile::parse(name.kind(), &case.input, "file.toml").expect("a valid file");
            Edit::put(name.clone(), file.entry).expect("the kinds match")
        }
        "remove" => Edit::remove(name.clone()),
        "show" => {
            let entry = document.entry(&name);
            return entry.map_or("absent\n".to_owned(), |entry| {
                EntryFile::show(&name, &entry)
            });
        }
        other => panic!("unknown directive {other}"),
    };
    let base = case.take_arg("base").expect("a base revision");
    let mut change = change(edit, base);
    if case.take_flag("forced").expect("a flag") {
        change.mode = ChangeMode::Forced;
    }
    match document.apply(&change) {
        Ok(next) => {
            let text = diff::documents(document, &next);
            *document = next;
            format!("revision {}\n{text}", document.revision)
        }
        Err(ApplyError::Conflict(conflict)) => {
            let Change { edit, .. } = change;
            let proposed = match edit {
                Edit::PutProfile(_, profile) => Some(profile.into()),
                Edit::PutVersion(_, version) => Some(version.into()),
                _ => None,
            };
            let text = diff::entries(&name, conflict.current.as_ref(), proposed.as_ref());
            format!("conflict: {conflict}\n{text}")
        }
        Err(ApplyError::Faults(faults)) => format!("{faults}\n"),
    }
}

#[test]
fn a_change_is_applied_or_rejected_with_its_conflict_or_faults() {
    datadriven::walk("tests/changes", |file| {
        let mut document = document();
        file.run(|case| trim_line_ends(&run(&mut document, case)));
    });
}

/// Trims the end of each line: an expected output can't contain a line of one space.
fn trim_line_ends(text: &str) -> String {
    let mut lines: Vec<_> = text.lines().map(str::trim_end).collect();
    lines.push("");
    lines.join("\n")
}
