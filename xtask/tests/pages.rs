//! Checks that the documentation cites only runs that finished successfully.

use std::fs;
use std::path::{Path, PathBuf};

use serde_json::Value;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

fn collect_pages(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            collect_pages(&path, found);
        } else if path.extension().is_some_and(|it| it == "md") {
            found.push(path);
        }
    }
}

/// Returns the run ids in a text, such as `20261203T084440-73bce9e5`.
fn run_ids(text: &str) -> Vec<&str> {
    let is_run_id = |it: &&str| {
        let Some((at, id)) = it.split_once('-') else {
            return false;
        };
        let is_timestamp = at.len() == 15 && at.as_bytes()[8] == b'T' && at.starts_with("20");
        is_timestamp && id.len() == 8 && id.bytes().all(|it| it.is_ascii_hexdigit())
    };
    let words = text.split(|it: char| !it.is_ascii_alphanumeric() && it != '-');
    words.filter(is_run_id).collect()
}

/// Returns why a run must not be cited, or `None` if it finished successfully.
fn citation_error(run: &str) -> Option<String> {
    let path = root().join("journal").join(format!("{run}.json"));
    let Ok(text) = fs::read_to_string(&path) else {
        return Some("the journal has no entry of the run".to_owned());
    };
    let entry: Value = serde_json::from_str(&text).unwrap();
    let end = entry["at"][1].as_str().unwrap_or_default();
    let is_finished = !end.is_empty() && entry["ok"] == true;
    (!is_finished).then(|| format!("the run did not finish successfully: {}", entry["error"]))
}

#[test]
fn run_ids_are_found_in_a_text() {
    let text = "Run 20261203T084440-73bce9e5 (and `20261203T082910-d3a4b80f`), not 20261203T08.";
    assert_eq!(
        run_ids(text),
        ["20261203T084440-73bce9e5", "20261203T082910-d3a4b80f"]
    );
}

/// A page must not cite figures of an aborted or failed run.
#[test]
fn pages_cite_only_runs_that_finished_successfully() {
    let mut found = Vec::new();
    collect_pages(&root().join("docs"), &mut found);
    let mut errors = Vec::new();
    for page in found {
        for run in run_ids(&fs::read_to_string(&page).unwrap()) {
            if let Some(error) = citation_error(run) {
                errors.push(format!("{}: {run}: {error}", page.display()));
            }
        }
    }
    assert!(errors.is_empty(), "{}", errors.join("\n"));
}
