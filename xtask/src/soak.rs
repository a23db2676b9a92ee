//! `cargo xtask soak`: troubles drawn by a seed over real processes, and every
//! promise set against the stand-ins' records.

use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};
use error_stack::Report;

use crate::error::Error;
use crate::site::{Binaries, Profile};

/// The sub-command.
#[must_use]
pub fn command() -> Command {
    Command::new("soak")
        .about("Draws kills, freezes, outages, faults, drains and changes, and checks what callers were told")
        .arg(
            Arg::new("seed")
                .long("seed")
                .help("What the first round is drawn by; each round takes the next seed")
                .value_parser(value_parser!(u64))
                .default_value("1"),
        )
        .arg(
            Arg::new("for")
                .long("for")
                .help("Seconds of trouble in a round")
                .value_parser(value_parser!(u64).range(2..=3600))
                .default_value("30"),
        )
        .arg(
            Arg::new("rounds")
                .long("rounds")
                .help("How many rounds")
                .value_parser(value_parser!(u64).range(1..=1000))
                .default_value("1"),
        )
}

/// Runs the rounds; a broken promise ends them with its seed and script.
///
/// # Errors
/// When the daemon can't be built.
pub fn run(matches: &ArgMatches) -> Result<ExitCode, Report<Error>> {
    let binaries = Binaries::build(Profile::Dev)?;
    let first = value(matches, "seed");
    let length = Duration::from_secs(value(matches, "for"));
    for seed in first..first + value(matches, "rounds") {
        let report = scenario::soak(seed, length, &binaries.daemon);
        print!("{report}");
        if !report.violations.is_empty() {
            println!(
                "\nTo repeat: cargo xtask soak --seed {seed} --for {}",
                length.as_secs()
            );
            return Ok(ExitCode::FAILURE);
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn value(matches: &ArgMatches, name: &str) -> u64 {
    *matches
        .get_one(name)
        .expect("clap fills in the default value")
}
