//! Parsing and formatting of entry files, and the faults reported for them.

use config::{EntryFile, EntryKind};

fn parse_and_format(kind: EntryKind, text: &str) -> String {
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
fn valid_files_are_formatted_and_faults_of_others_are_reported() {
    datadriven::walk("tests/files", |file| {
        file.run(|case| {
            let kind = EntryKind::ALL
                .into_iter()
                .find(|kind| kind.to_string() == case.directive);
            parse_and_format(kind.expect("the directive is a kind"), &case.input)
        });
    });
}
