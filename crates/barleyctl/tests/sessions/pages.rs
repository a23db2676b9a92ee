//! Runs the commands of the operators' pages; each has to succeed.
//!
//! A block marked `sh` holds the commands, one per line; a block marked
//! `toml NAME` holds a file that they read. Other blocks are ignored.

use super::World;

const FIRST_PROFILE: &str = include_str!("../../../../docs/operate/first-profile.md");
const ROLLOUT: &str = include_str!("../../../../docs/operate/rollout.md");
const STORE_OUTAGE: &str = include_str!("../../../../docs/operate/store-outage.md");
const LOST_DATA_CENTRE: &str = include_str!("../../../../docs/operate/lost-data-centre.md");
const DRAIN: &str = include_str!("../../../../docs/operate/drain.md");

/// Runs the commands of a page, after writing the files that they read.
fn follow(world: &World, page: &str) {
    let mut commands = 0;
    for block in page.split("\n```").skip(1).step_by(2) {
        let (mark, text) = block.split_once('\n').expect("a block has an info line");
        match mark.split_once(' ') {
            Some(("toml", name)) => world.write(name, text),
            _ if mark == "sh" => {
                for line in text.lines() {
                    let line = line
                        .strip_prefix("barleyctl ")
                        .expect("a barleyctl command");
                    run(world, line);
                    commands += 1;
                }
            }
            _ => {}
        }
    }
    assert!(commands > 0, "the page shows no command");
}

fn run(world: &World, line: &str) {
    let line = in_directory(line);
    let output = world.ctl("--host {a} --host {b} --key-file {dir}/key", &line);
    assert!(output.ends_with("exit 0: done\n"), "{line}\n{output}");
}

/// Prefixes the files of a command with the placeholder of the test's directory.
fn in_directory(line: &str) -> String {
    let words = line.split(' ').map(|word| {
        if word.contains(".toml") {
            format!("{{dir}}/{word}")
        } else {
            word.to_owned()
        }
    });
    words.collect::<Vec<_>>().join(" ")
}

fn check(page: &str) {
    let world = World::empty();
    follow(&world, FIRST_PROFILE);
    if page != FIRST_PROFILE {
        follow(&world, page);
    }
}

#[test]
fn a_profile_from_nothing() {
    check(FIRST_PROFILE);
}

#[test]
fn a_roll_out_and_a_withdrawal() {
    check(ROLLOUT);
}

#[test]
fn a_store_outage() {
    check(STORE_OUTAGE);
}

#[test]
fn a_lost_data_centre() {
    check(LOST_DATA_CENTRE);
}

#[test]
fn a_drain() {
    check(DRAIN);
}
