//! Checks references to bench runs in the documentation.

use std::fs;
use std::path::{Path, PathBuf};

use serde_json::Value;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

fn pages(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            pages(&path, found);
        } else if path.extension().is_some_and(|it| it == "md") {
            found.push(path);
        }
    }
}

/// Returns the run ids in a text, such as `20261203T084440-73bce9e5`.
fn runs(text: &str) -> Vec<&str> {
    let is_run = |it: &&str| {
        let Some((at, id)) = it.split_once('-') else {
            return false;
        };
        let is_moment = at.len() == 15 && at.as_bytes()[8] == b'T' && at.starts_with("20");
        is_moment && id.len() == 8 && id.bytes().all(|it| it.is_ascii_hexdigit())
    };
    let words = text.split(|it: char| !it.is_ascii_alphanumeric() && it != '-');
    words.filter(is_run).collect()
}

/// Returns why a run must not be cited, or `None` if it finished successfully.
fn fault(run: &str) -> Option<String> {
    let path = root().join("journal").join(format!("{run}.json"));
    let Ok(text) = fs::read_to_string(&path) else {
        return Some("the journal has no entry of the run".to_owned());
    };
    let entry: Value = serde_json::from_str(&text).unwrap();
    let end = entry["at"][1].as_str().unwrap_or_default();
    let is_whole = !end.is_empty() && entry["ok"] == true;
    (!is_whole).then(|| format!("the run did not finish successfully: {}", entry["error"]))
}

#[test]
fn runs_are_found_in_a_text() {
    let text = "Run 20261203T084440-73bce9e5 (and `20261203T082910-d3a4b80f`), not 20261203T08.";
    assert_eq!(
        runs(text),
        ["20261203T084440-73bce9e5", "20261203T082910-d3a4b80f"]
    );
}

/// Guards against pages that cite figures of an aborted or failed run.
#[test]
fn each_run_that_a_page_names_has_finished() {
    let mut found = Vec::new();
    pages(&root().join("docs"), &mut found);
    let mut faults = Vec::new();
    for page in found {
        for run in runs(&fs::read_to_string(&page).unwrap()) {
            if let Some(fault) = fault(run) {
                faults.push(format!("{}: {run}: {fault}", page.display()));
            }
        }
    }
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}
