//! Tests of `explain` and of the commands of the on-call page (docs/OPERATIONS.md),
//! on a recorded log of hosts with two lines that aren't events.

use std::io::Write;
use std::process::{Command, Stdio};

use datadriven::walk;

const LOG: &str = "tests/logs/hosts.log";
const PAGE: &str = include_str!("../../../docs/OPERATIONS.md");

fn barleyctl() -> Command {
    Command::new(env!("CARGO_BIN_EXE_barleyctl"))
}

fn run_and_show(command: &mut Command) -> String {
    let output = command.output().unwrap();
    let text = String::from_utf8(output.stdout).unwrap();
    let err = String::from_utf8(output.stderr).unwrap();
    format!("{text}{err}exit {}\n", output.status.code().unwrap())
}

#[test]
fn explain_output_matches_the_cases() {
    walk("tests/explain", |file| {
        file.run(|case| match case.directive.as_str() {
            "explain" => run_and_show(
                barleyctl()
                    .arg("explain")
                    .args(case.input.split_whitespace())
                    .arg(LOG),
            ),
            other => panic!("unknown directive {other}"),
        });
    });
}

#[test]
fn explain_reads_standard_input_without_files() {
    let mut child = barleyctl()
        .args(["explain", "4a6777875b40ea23", "--output", "json"])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let log = std::fs::read(LOG).unwrap();
    child.stdin.take().unwrap().write_all(&log).unwrap();
    let output = child.wait_with_output().unwrap();
    let json: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(json["lines"].as_array().unwrap().len(), 3);
    assert_eq!(json["unreadable"], 2);
}

/// Each command of the on-call page finds lines in the recorded log. Commands
/// with `jq` are skipped where it isn't installed.
#[test]
fn commands_of_the_on_call_page_find_lines() {
    let has_jq = Command::new("jq").arg("--version").output().is_ok();
    let mut commands = 0;
    for line in PAGE.lines().filter_map(|it| it.strip_prefix("    $ ")) {
        if line.contains("jq ") && !has_jq {
            eprintln!("skipped because jq is not installed: {line}");
            continue;
        }
        let line = line
            .replace("barleyctl", env!("CARGO_BIN_EXE_barleyctl"))
            .replace("*.log", LOG);
        let output = Command::new("sh").args(["-c", &line]).output().unwrap();
        assert!(output.status.success(), "{line}");
        assert!(!output.stdout.is_empty(), "{line}");
        commands += 1;
    }
    assert!(commands >= 6, "{commands}");
}
