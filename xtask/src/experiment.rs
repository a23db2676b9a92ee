//! `cargo xtask experiment`: measures the quality of decisions on a virtual clock.

use std::env;
use std::process::{self, ExitCode};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use error_stack::{Report, ResultExt};
use experiment::{Options, Scenario, Seeds, Workload};

use crate::error::Error;

/// Returns the definition of the subcommand.
#[must_use]
pub fn command() -> Command {
    Command::new("experiment")
        .about("Compares the decisions with those of an oracle and of baselines, on a virtual clock")
        .arg(
            Arg::new("workload")
                .long("workload")
                .help("Run only this workload"),
        )
        .arg(
            Arg::new("scenario")
                .long("scenario")
                .help("Run only this scenario")
                .value_parser(Scenario::names().collect::<Vec<_>>()),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .help("Run only this seed instead of those used for published results")
                .value_parser(value_parser!(u64)),
        )
        .arg(
            Arg::new("tuned")
                .long("tuned")
                .help("Run the seeds used to choose constants instead of those used for published results")
                .conflicts_with("seed")
                .action(ArgAction::SetTrue),
        )
        .arg(
            Arg::new("quick")
                .long("quick")
                .help("Simulate only three hosts for a few minutes of virtual time")
                .action(ArgAction::SetTrue),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .help("Print the figures as JSON")
                .action(ArgAction::SetTrue),
        )
}

/// Runs the experiment. A debug build runs the release build of this task instead.
///
/// # Errors
/// [`Error::Measurement`] if the experiment does not accept the options, [`Error::Start`] if the
/// release build can't be started.
pub fn run(matches: &ArgMatches) -> Result<ExitCode, Report<Error>> {
    if cfg!(debug_assertions) {
        return again_optimised();
    }
    let workload = matches
        .get_one::<String>("workload")
        .map(|it| Workload::named(it))
        .transpose()
        .change_context(Error::Measurement)?;
    let options = Options {
        seeds: seeds(matches),
        scenario: matches.get_one::<String>("scenario").cloned(),
        workload,
        quick: matches.get_flag("quick"),
    };
    let report = experiment::run(&options).change_context(Error::Measurement)?;
    if matches.get_flag("json") {
        let json = serde_json::to_string_pretty(&report).change_context(Error::Measurement)?;
        println!("{json}");
    } else {
        print!("{}", report.table());
    }
    Ok(ExitCode::SUCCESS)
}

fn seeds(matches: &ArgMatches) -> Seeds {
    match matches.get_one::<u64>("seed") {
        Some(seed) => Seeds::One(*seed),
        None if matches.get_flag("tuned") => Seeds::Tuned,
        None => Seeds::Reported,
    }
}

/// Runs this task again as a release build, because a debug build is too slow for days of
/// virtual time.
fn again_optimised() -> Result<ExitCode, Report<Error>> {
    let cargo = env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let status = process::Command::new(cargo)
        .args(["run", "--quiet", "--release", "-p", "xtask", "--"])
        .args(env::args_os().skip(1))
        .status()
        .change_context(Error::Start)?;
    Ok(if status.success() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}
