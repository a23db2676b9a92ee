//! `cargo xtask capacity`: what each mechanism costs as a function of a size,
//! measured at four sizes or more and fitted, so that constant, linear and
//! quadratic growth can be told apart. `docs/CAPACITY.md` sets the slopes
//! against the target's sizes.

mod decisions;
mod document;
mod fit;
mod fleet;
mod processes;
mod records;
mod series;

use std::process::ExitCode;

use async_std::task;
use clap::{Arg, ArgAction, ArgMatches, Command};
use error_stack::Report;

use crate::error::Error;

pub use fit::{Fit, Growth};
pub use series::{Sample, Series};

/// The sub-command.
#[must_use]
pub fn command() -> Command {
    Command::new("capacity")
        .about("Measures the slopes behind docs/CAPACITY.md")
        .arg(
            Arg::new("json")
                .long("json")
                .help("Prints the series and their fits as JSON only")
                .action(ArgAction::SetTrue),
        )
        .arg(
            Arg::new("only")
                .long("only")
                .help("Measures only this part")
                .value_parser([
                    "decisions",
                    "document",
                    "fleet",
                    "incidents",
                    "records",
                    "processes",
                ]),
        )
}

/// Runs the measurement.
///
/// # Errors
/// When the processes of the measured site don't come up.
pub fn run(matches: &ArgMatches) -> Result<ExitCode, Report<Error>> {
    let only = matches.get_one::<String>("only").map(String::as_str);
    let wanted = |part: &str| only.is_none_or(|it| it == part);
    let mut all = Vec::new();
    if wanted("decisions") {
        all.extend(decisions::measure());
    }
    if wanted("document") {
        all.extend(document::measure());
    }
    if wanted("fleet") {
        all.extend(fleet::measure());
    }
    if wanted("incidents") {
        all.extend(fleet::incidents());
    }
    if wanted("records") {
        all.extend(records::measure());
    }
    if wanted("processes") {
        all.extend(task::block_on(processes::measure())?);
    }
    if matches.get_flag("json") {
        let json = serde_json::to_string_pretty(&all).expect("figures have a JSON form");
        println!("{json}");
    } else {
        println!("{}", series::table(&all));
    }
    Ok(ExitCode::SUCCESS)
}
