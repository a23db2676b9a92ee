//! Command line of the developer tasks.

use std::process::ExitCode;

use clap::Command;
use error_stack::Report;
use xtask::error::Error;
use xtask::{capacity, days, demo, experiment, load, site_task, soak, worth};

fn main() -> ExitCode {
    let matches = command().get_matches();
    let done = match matches.subcommand() {
        Some(("demo", matches)) => demo::run(matches),
        Some(("site", matches)) => site_task::run(matches),
        Some(("capacity", matches)) => capacity::run(matches),
        Some(("load", matches)) => load::run(matches),
        Some(("experiment", matches)) => experiment::run(matches),
        Some(("soak", matches)) => soak::run(matches),
        Some(("days", matches)) => days::run(matches),
        Some(("worth", matches)) => worth::run(matches),
        _ => unreachable!("clap requires one of the subcommands"),
    };
    done.unwrap_or_else(|report: Report<Error>| {
        eprintln!("{report:?}");
        ExitCode::FAILURE
    })
}

fn command() -> Command {
    Command::new("xtask")
        .about("Developer tasks of this repository")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(demo::command())
        .subcommand(site_task::command())
        .subcommand(capacity::command())
        .subcommand(load::command())
        .subcommand(experiment::command())
        .subcommand(soak::command())
        .subcommand(days::command())
        .subcommand(worth::command())
}
