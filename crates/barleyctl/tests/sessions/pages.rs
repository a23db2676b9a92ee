//! Runs the commands of the operators' pages; each has to succeed.
//!
//! A block marked `sh` holds the commands, one per line; a block marked
//! `toml NAME` holds a file that they read. Other blocks are ignored.

use super::Harness;

const FIRST_PROFILE: &str = include_str!("../../../../docs/operate/first-profile.md");
const ROLLOUT: &str = include_str!("../../../../docs/operate/rollout.md");
const STORE_OUTAGE: &str = include_str!("../../../../docs/operate/store-outage.md");
const LOST_DATA_CENTRE: &str = include_str!("../../../../docs/operate/lost-data-centre.md");
const DRAIN: &str = include_str!("../../../../docs/operate/drain.md");

/// Writes the files and runs the commands of a page, in the order of its blocks.
fn run_page(harness: &Harness, page: &str) {
    let mut commands = 0;
    for block in page.split("\n```").skip(1).step_by(2) {
        let (mark, text) = block.split_once('\n').expect("a block has an info line");
        match mark.split_once(' ') {
            Some(("toml", name)) => harness.write(name, text),
            _ if mark == "sh" => {
                for line in text.lines() {
                    let line = line
                        .strip_prefix("barleyctl ")
                        .expect("a barleyctl command");
                    run(harness, line);
                    commands += 1;
                }
            }
            _ => {}
        }
    }
    assert!(commands > 0, "the page shows no command");
}

fn run(harness: &Harness, line: &str) {
    let line = with_directory(line);
    let output = harness.run_command("--host {a} --host {b} --key-file {dir}/key", &line);
    assert!(output.ends_with("exit 0: done\n"), "{line}\n{output}");
}

/// Prefixes the files of a command with the placeholder of the test's directory.
fn with_directory(line: &str) -> String {
    let words = line.split(' ').map(|word| {
        if word.contains(".toml") {
            format!("{{dir}}/{word}")
        } else {
            word.to_owned()
        }
    });
    words.collect::<Vec<_>>().join(" ")
}

/// Runs the commands of a page on a new fleet, after those of the first-profile page.
fn check_page(page: &str) {
    let harness = Harness::empty();
    run_page(&harness, FIRST_PROFILE);
    if page != FIRST_PROFILE {
        run_page(&harness, page);
    }
}

#[test]
fn commands_of_the_first_profile_page_succeed() {
    check_page(FIRST_PROFILE);
}

#[test]
fn commands_of_the_rollout_page_succeed() {
    check_page(ROLLOUT);
}

#[test]
fn commands_of_the_store_outage_page_succeed() {
    check_page(STORE_OUTAGE);
}

#[test]
fn commands_of_the_lost_data_centre_page_succeed() {
    check_page(LOST_DATA_CENTRE);
}

#[test]
fn commands_of_the_drain_page_succeed() {
    check_page(DRAIN);
}
