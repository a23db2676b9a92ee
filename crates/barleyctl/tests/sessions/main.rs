//! Tests of command sequences against a fake fleet, two of whose three hosts serve.

mod fake_fleet;
mod pages;

use std::ffi::OsString;
use std::path::Path;
use std::sync::{Arc, Mutex};

use barleyctl::{Console, run};
use config::{Change, ChangeMode, Document, Edit, EntryFile, EntryKind, EntryName};
use datadriven::TestCase;
use fake_fleet::FakeFleet;
use http::Server;
use kernel::Revision;

/// A fake fleet and a directory of files; their addresses and path, which differ
/// between runs, are replaced by placeholders in the output.
struct Harness {
    fleet: Arc<Mutex<FakeFleet>>,
    hosts: [Server; 2],
    directory: tempfile::TempDir,
}

impl Harness {
    /// Creates a fleet with two versions, a customer and a profile.
    fn new() -> Self {
        let harness = Self::empty();
        commit_initial_entries(&mut harness.fleet.lock().expect("not poisoned"));
        harness
    }

    /// Creates a fleet with an empty configuration.
    fn empty() -> Self {
        let fleet = Arc::new(Mutex::new(FakeFleet::default()));
        let directory = tempfile::tempdir().expect("a temporary directory");
        let harness = Self {
            hosts: fake_fleet::start(&fleet),
            fleet,
            directory,
        };
        harness.write("key", &format!("{}\n", fake_fleet::KEY));
        harness.write("wrong-key", "guessed\n");
        harness.write("empty-key", "\n");
        harness
    }

    fn write(&self, name: &str, text: &str) {
        std::fs::write(self.directory.path().join(name), text).expect("the file is written");
    }

    fn placeholders(&self) -> Vec<(&'static str, String)> {
        vec![
            ("{a}", self.hosts[0].address().to_string()),
            ("{b}", self.hosts[1].address().to_string()),
            ("{dir}", self.directory.path().display().to_string()),
        ]
    }

    fn run_command(&self, prefix: &str, input: &str) -> String {
        let (line, stdin) = input.split_once('\n').unwrap_or((input, ""));
        let mut line = format!("barleyctl {prefix} {line}");
        for (name, value) in self.placeholders() {
            line = line.replace(name, &value);
        }
        let (mut out, mut err) = (Vec::new(), Vec::new());
        let mut console = Console {
            input: &mut stdin.as_bytes(),
            out: &mut out,
            err: &mut err,
        };
        let exit = run(line.split_whitespace().map(OsString::from), &mut console);
        let mut text = String::new();
        for (stream, bytes) in [("err", err), ("out", out)] {
            for line in String::from_utf8(bytes).expect("UTF-8 output").lines() {
                text += format!("{stream}: {line}").trim_end();
                text += "\n";
            }
        }
        for (name, value) in self.placeholders() {
            text = text.replace(&value, name);
        }
        text = replace_generated_id(&text);
        text + &format!("exit {}: {exit}\n", exit.code())
    }

    fn run_case(&self, case: &mut TestCase) -> String {
        match case.directive.as_str() {
            "ctl" => self.run_command("--host {a} --key-file {dir}/key", &case.input),
            "raw" => self.run_command("", &case.input),
            "fleet" => {
                let mut fleet = self.fleet.lock().expect("not poisoned");
                let arg = |name: &str, case: &mut TestCase| {
                    case.try_take_args::<String>(name).expect("host names")
                };
                fleet.lagging = arg("lagging", case).unwrap_or_default();
                fleet.suspect = arg("silent", case).unwrap_or_default();
                fleet.responses_to_cut = case.try_take_arg("lose").expect("a number").unwrap_or(0);
                fleet.peers_unknown = case.take_flag("strangers").expect("a flag");
                fleet.store_out = case.take_flag("store_out").expect("a flag");
                case.expect_empty().expect("known arguments");
                "ok\n".to_owned()
            }
            "revision" => {
                let fleet = self.fleet.lock().expect("not poisoned");
                format!("{}\n", fleet.document.revision)
            }
            "file" => {
                let name: String = case.take_arg("name").expect("a name");
                self.write(&name, &case.input);
                "ok\n".to_owned()
            }
            "list" => list_files(self.directory.path()),
            other => panic!("unknown directive {other}"),
        }
    }
}

/// Replaces the change id by `{id}` if the command generated it.
fn replace_generated_id(text: &str) -> String {
    let id = text
        .lines()
        .filter_map(|line| line.strip_prefix("err: change "))
        .find(|id| id.len() == 32 && id.bytes().all(|byte| byte.is_ascii_hexdigit()));
    match id {
        Some(id) => text.replace(id, "{id}"),
        None => text.to_owned(),
    }
}

/// Commits two versions, a customer and a profile.
fn commit_initial_entries(fleet: &mut FakeFleet) {
    let prices = "prompt_microcents_per_million = 100\ncompletion_microcents_per_million = 400\n";
    let customer = format!("key_blake3 = \"{}\"\n", "0a".repeat(32));
    let profile = "allow = [\"oak@1\", \"oak@2\"]\nquality = 0.9\ncost_cap_microcents = 500\n\
                   repeat = \"idempotent\"\n[customers.desk]\nallow = [\"oak@1\"]\n";
    let entries = [
        (EntryKind::Version, "oak@1", prices),
        (EntryKind::Version, "oak@2", prices),
        (EntryKind::Customer, "desk", &customer),
        (EntryKind::Profile, "dossier", profile),
    ];
    for (idx, (kind, name, text)) in entries.into_iter().enumerate() {
        let file = EntryFile::parse(kind, text, "start").expect("the initial entry is valid");
        let change = Change {
            id: format!("start-{idx}").into(),
            base: Revision(0),
            author: "installation".to_owned(),
            mode: ChangeMode::Guarded,
            edit: Edit::put(EntryName::new(kind, name), file.entry)
                .expect("name and entry are of one kind"),
        };
        fleet
            .commit(&change)
            .expect("the initial change is accepted");
    }
    assert_ne!(fleet.document, Document::default());
}

/// Lists the files of a directory and their permissions.
fn list_files(directory: &Path) -> String {
    use std::os::unix::fs::PermissionsExt;

    let entries = std::fs::read_dir(directory).expect("a readable directory");
    let mut lines: Vec<_> = entries
        .map(|entry| {
            let entry = entry.expect("an entry");
            let mode = entry.metadata().expect("metadata").permissions().mode();
            format!("{} {:o}\n", entry.file_name().display(), mode & 0o777)
        })
        .collect();
    lines.sort();
    lines.concat()
}

#[test]
fn command_output_matches_the_cases() {
    datadriven::walk("tests/sessions/cases", |file| {
        let harness = Harness::new();
        file.run(|case| harness.run_case(case));
    });
}
