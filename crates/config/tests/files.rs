//! Parsing and formatting of entry files, and the faults reported for them.

use config::{EntryFile, EntryKind};

fn check(kind: EntryKind, text: &str) -> String {
    match EntryFile::parse(kind, text, "file.toml") {
        Ok(file) => {
            let header = match (&file.name, file.revision) {
                (Some(name), Some(revision)) => format!("{name} read at {revision}\n"),
                _ => String::new(),
            };
            let name = config::EntryName::new(kind, "some");
            format!("{header}{}", EntryFile::show(&name, &file.entry))
        }
        Err(faults) => format!("{faults}\n"),
    }
}

#[test]
fn files_are_formatted_or_all_faults_are_reported() {
    datadriven::walk("tests/files", |file| {
        file.run(|case| {
            let kind = EntryKind::ALL
                .into_iter()
                .find(|kind| kind.to_string() == case.directive);
            check(kind.expect("the directive is a kind"), &case.input)
        });
    });
}
