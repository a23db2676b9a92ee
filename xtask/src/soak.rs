//! `cargo xtask soak`: injects failures drawn from a seed into real processes and checks the
//! guarantees to callers against the stand-ins' records.

use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};
use error_stack::Report;

use crate::error::Error;
use crate::site::{Binaries, Profile};

/// Returns the definition of the subcommand.
#[must_use]
pub fn command() -> Command {
    Command::new("soak")
        .about("Injects random failures and changes into real processes and checks the guarantees to callers")
        .arg(
            Arg::new("seed")
                .long("seed")
                .help("Seed of the first round; each further round uses the next seed")
                .value_parser(value_parser!(u64))
                .default_value("1"),
        )
        .arg(
            Arg::new("for")
                .long("for")
                .help("Seconds of failure injection in a round")
                .value_parser(value_parser!(u64).range(2..=3600))
                .default_value("30"),
        )
        .arg(
            Arg::new("rounds")
                .long("rounds")
                .help("Number of rounds")
                .value_parser(value_parser!(u64).range(1..=1000))
                .default_value("1"),
        )
}

/// Runs the rounds. After a round with a violated guarantee it prints the command that
/// reproduces the round and stops.
///
/// # Errors
/// [`Error::Build`] if the programs can't be built.
///
/// # Panics
/// If a host doesn't start or a stand-in doesn't respond.
pub fn run(matches: &ArgMatches) -> Result<ExitCode, Report<Error>> {
    let binaries = Binaries::build(Profile::Dev)?;
    let first = value(matches, "seed");
    let length = Duration::from_secs(value(matches, "for"));
    for seed in first..first + value(matches, "rounds") {
        let report = scenario::soak(seed, length, &binaries.daemon);
        print!("{report}");
        if !report.violations.is_empty() {
            println!(
                "\nTo reproduce: cargo xtask soak --seed {seed} --for {}",
                length.as_secs()
            );
            return Ok(ExitCode::FAILURE);
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn value(matches: &ArgMatches, name: &str) -> u64 {
    *matches.get_one(name).expect("clap sets the default value")
}
