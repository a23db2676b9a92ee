//! Checks `docs/PROOFS.md` against the tests and scripts, and that a script or test covers each
//! reason that may say `not_run`.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

use gate::problem::Reason;

const STATES: [&str; 3] = ["proved", "partial", "not yet"];

/// Returns all tests and case files, as `crate::name`.
fn known_tests() -> BTreeSet<String> {
    let crates = root().join("crates");
    let mut known = BTreeSet::new();
    for entry in fs::read_dir(crates).expect("the crates folder exists") {
        let dir = entry.expect("the folder can be read").path();
        let package = stem(&dir);
        for file in files(&dir.join("tests")) {
            if file.extension().is_some_and(|it| it == "rs") {
                let text = fs::read_to_string(&file).expect("a test file can be read");
                known.extend(tests(&text).map(|it| format!("{package}::{it}")));
            } else {
                known.insert(format!("{package}::{}", stem(&file)));
            }
        }
    }
    known
}

/// Returns the names of the test functions in a test file.
fn tests(text: &str) -> impl Iterator<Item = &str> {
    let mut marked = false;
    text.lines().filter_map(move |line| {
        let line = line.trim();
        if line.starts_with("#[") && line.contains("test") {
            marked = true;
            return None;
        }
        let name = line.strip_prefix("fn ")?;
        let is_test = std::mem::take(&mut marked);
        is_test.then(|| name.split(['(', '<']).next().unwrap_or_default())
    })
}

fn files(dir: &Path) -> Vec<PathBuf> {
    let Ok(entries) = fs::read_dir(dir) else {
        return Vec::new();
    };
    let paths = entries.flatten().map(|it| it.path());
    paths
        .flat_map(|it| if it.is_dir() { files(&it) } else { vec![it] })
        .collect()
}

fn stem(path: &Path) -> String {
    let stem = path.file_stem().expect("a file has a name");
    stem.to_string_lossy().into_owned()
}

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn page() -> String {
    fs::read_to_string(root().join("docs/PROOFS.md")).expect("the page exists")
}

/// Returns the test names in a part of the page: text formatted as code that contains `::`.
fn test_names(text: &str) -> impl Iterator<Item = &str> {
    let code = text.split('`').skip(1).step_by(2);
    code.filter(|it| it.contains("::"))
}

/// Returns the cells of the rows `| fault | state | proved by | missing |`.
fn rows(page: &str) -> Vec<Vec<&str>> {
    let lines = page.lines().filter(|it| it.starts_with('|'));
    let cells = lines.map(|it| it.trim_matches('|').split('|').map(str::trim).collect());
    cells
        .filter(|it: &Vec<&str>| it.len() == 4 && STATES.contains(&it[1]))
        .collect()
}

#[test]
fn every_test_that_the_page_names_exists() {
    let known = known_tests();
    let page = page();
    let missing: Vec<_> = test_names(&page)
        .filter(|it| !known.contains(*it))
        .collect();
    assert!(missing.is_empty(), "no such tests: {missing:#?}");
}

#[test]
fn every_script_is_on_the_page() {
    let page = page();
    let named: BTreeSet<_> = test_names(&page).collect();
    for file in files(&root().join("crates/barleypind/tests/scripts")) {
        let name = format!("barleypind::{}", stem(&file));
        assert!(named.contains(name.as_str()), "{name} is not on the page");
    }
}

#[test]
fn rows_agree_with_their_state() {
    let page = page();
    let rows = rows(&page);
    assert!(!rows.is_empty(), "the page has no rows");
    for row in rows {
        let has_test = test_names(row[2]).next().is_some();
        match row[1] {
            "proved" => assert!(has_test, "no test: {row:?}"),
            "partial" => assert!(has_test && !row[3].is_empty(), "incomplete: {row:?}"),
            _ => assert!(!has_test, "names a test, but is \"not yet\": {row:?}"),
        }
    }
}

/// Reasons that the script can't reliably produce, with the tests that cover them. `Deadline` needs
/// a queue that outlasts the deadline, `Leaving` a call that arrives while the host drains its
/// ledger.
const COVERED_ELSEWHERE: [(Reason, &str); 2] = [
    (Reason::Deadline, "decide::deadlines"),
    (Reason::Leaving, "ledger::drain"),
];

#[test]
fn every_not_run_reason_is_covered_by_the_script() {
    let script = root().join("crates/barleypind/tests/scripts/not_run_is_true.txt");
    let script = fs::read_to_string(script).expect("the script exists");
    let known = known_tests();
    for reason in Reason::ALL.into_iter().filter(|it| it.can_prove_not_run()) {
        if let Some((_, test)) = COVERED_ELSEWHERE.iter().find(|(it, _)| *it == reason) {
            assert!(known.contains(*test), "no such test: {test}");
            continue;
        }
        let refusal = format!(" {reason} not_run");
        assert!(
            script.contains(&refusal),
            "the script doesn't produce {reason}"
        );
    }
}
