//! Tests of the binary: exit codes, completions, and the reference page.

use std::process::Command;

use barleyctl::Exit;

const REFERENCE: &str = include_str!("../../../docs/reference/barleyctl.md");

fn run_tool(args: &[&str]) -> (Option<i32>, String) {
    let tool = env!("CARGO_BIN_EXE_barleyctl");
    let output = Command::new(tool)
        .args(args)
        .output()
        .expect("the binary starts");
    let text = String::from_utf8(output.stdout).expect("UTF-8 output");
    (output.status.code(), text)
}

#[test]
fn version_exits_with_0_and_usage_errors_exit_with_2() {
    assert_eq!(run_tool(&["--version"]).0, Some(0));
    assert_eq!(run_tool(&["profiles", "list"]).0, Some(2));
    assert_eq!(run_tool(&[]).0, Some(2));
}

#[test]
fn completions_contain_the_command_withdraw() {
    for shell in ["bash", "zsh", "fish"] {
        let (code, text) = run_tool(&["completions", shell]);
        assert_eq!(code, Some(0));
        assert!(text.contains("withdraw"), "{shell}");
    }
}

#[test]
fn the_reference_lists_every_exit_code_and_no_other() {
    for exit in Exit::ALL {
        let row = format!("| {} | {exit} |", exit.code());
        assert!(REFERENCE.contains(&row), "the reference lacks {row}");
    }
    let rows = REFERENCE.lines().filter(|line| {
        let cell = line
            .strip_prefix("| ")
            .and_then(|line| line.split(' ').next());
        cell.is_some_and(|cell| cell.parse::<u8>().is_ok())
    });
    assert_eq!(rows.count(), Exit::ALL.len());
}

#[test]
fn the_reference_lists_every_command_and_no_other() {
    let mut known = Vec::new();
    collect_commands(&barleyctl::command(), &[], &mut known);
    let mut listed: Vec<String> = REFERENCE
        .lines()
        .filter_map(|line| line.strip_prefix("| `"))
        .filter(|row| !row.starts_with('-'))
        .flat_map(row_commands)
        .collect();
    known.sort();
    listed.sort();
    assert_eq!(listed, known);
}

/// Collects the full name of each command that has no subcommands.
fn collect_commands(command: &clap::Command, path: &[&str], known: &mut Vec<String>) {
    if !command.has_subcommands() {
        known.push(path.join(" "));
    }
    for child in command.get_subcommands() {
        collect_commands(child, &[path, &[child.get_name()]].concat(), known);
    }
}

/// Returns the commands in the first cell of a row, without their arguments.
fn row_commands(row: &str) -> Vec<String> {
    let cell = row.split(" |").next().unwrap_or_default();
    let is_verb = |word: &&str| word.bytes().all(|byte| byte.is_ascii_lowercase());
    cell.split("`, `")
        .map(|command| command.trim_end_matches('`'))
        .map(|command| command.split(' ').take_while(is_verb).collect::<Vec<_>>())
        .map(|words| words.join(" "))
        .collect()
}
