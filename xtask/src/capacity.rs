//! `cargo xtask capacity`: measures the cost of each mechanism as a function of a size.
//!
//! Each series has at least four sizes, a least-squares line, and the exponent of a power law,
//! which classes the growth as constant, sublinear, linear or superlinear. `docs/CAPACITY.md`
//! compares the results with the target sizes.

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

/// Returns the definition of the subcommand.
#[must_use]
pub fn command() -> Command {
    Command::new("capacity")
        .about("Measures the cost functions in docs/CAPACITY.md")
        .arg(
            Arg::new("json")
                .long("json")
                .help("Print the series and their fits as JSON only")
                .action(ArgAction::SetTrue),
        )
        .arg(
            Arg::new("only")
                .long("only")
                .help("Measure only this part")
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

/// Runs the measurements.
///
/// # Errors
/// If the processes of the measured site can't be built, started or observed.
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
        let json = serde_json::to_string_pretty(&all).expect("figures can be serialized to JSON");
        println!("{json}");
    } else {
        println!("{}", series::table(&all));
    }
    Ok(ExitCode::SUCCESS)
}
