//! Entries as operators write them, and every fault that is told of them.

use config::{File, Kind};

fn check(kind: Kind, text: &str) -> String {
    match File::parse(kind, text, "file.toml") {
        Ok(file) => {
            let read_at = match (&file.name, file.revision) {
                (Some(name), Some(revision)) => format!("{name} read at {revision}\n"),
                _ => String::new(),
            };
            let name = config::Name::new(kind, "some");
            format!("{read_at}{}", File::show(&name, &file.entry))
        }
        Err(faults) => format!("{faults}\n"),
    }
}

#[test]
fn files_are_read_and_shown_and_every_fault_is_told() {
    datadriven::walk("tests/files", |file| {
        file.run(|case| {
            let kind = Kind::ALL
                .into_iter()
                .find(|kind| kind.to_string() == case.directive);
            check(kind.expect("the directive is a kind"), &case.input)
        });
    });
}
