//! Parsing and formatting of entry files, and the faults reported for them.

use config::{File, Kind};

fn check(kind: Kind, text: &str) -> String {
    match File::parse(kind, text, "file.toml") {
        Ok(file) => {
            let header = match (&file.name, file.revision) {
                (Some(name), Some(revision)) => format!("{name} read at {revision}\n"),
                _ => String::new(),
            };
            let name = config::Name::new(kind, "some");
            format!("{header}{}", File::show(&name, &file.entry))
        }
        Err(faults) => format!("{faults}\n"),
    }
}

#[test]
fn files_are_formatted_or_all_faults_are_reported() {
    datadriven::walk("tests/files", |file| {
        file.run(|case| {
            let kind = Kind::ALL
                .into_iter()
                .find(|kind| kind.to_string() == case.directive);
            check(kind.expect("the directive is a kind"), &case.input)
        });
    });
}
