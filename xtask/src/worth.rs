//! `cargo xtask worth`: prints, for each replayed day, how much of its worth (the score, as a
//! fraction of the demand) was lost to each cause. A cause is a part of the credit that was not
//! earned, or a price that was paid.
//!
//! Reads journal entries of the users' bench, a program outside this workspace that replays days.
//! See `docs/design/deciding.md` for the terms.

use std::fs::File;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use comfy_table::{Table, presets};
use error_stack::{Report, ResultExt};
use serde::Deserialize;

use crate::error::Error;

/// Causes below this share of the demand in every day are summed up in one row.
const MIN_SHOWN_LOSS: f64 = 0.002;

/// A journal entry of a run; other fields are ignored.
#[derive(Debug, Deserialize)]
pub struct Entry {
    /// The deployment.
    pub site: String,
    /// The days that were replayed.
    pub days: Vec<Day>,
}

/// A replayed day.
#[derive(Debug, Deserialize)]
pub struct Day {
    /// The name of the day.
    pub name: String,
    /// The worth as a fraction of the demand.
    #[serde(rename = "G")]
    pub worth: f64,
    parts: Vec<Part>,
    prices: Vec<Price>,
}

/// A part of the credit: its name, its weight and the fraction that was earned.
#[derive(Debug, Deserialize)]
struct Part(String, f64, f64);

/// A price: its name, the quantity, and the price as a fraction of the demand.
#[derive(Debug, Deserialize)]
struct Price(
    String,
    #[expect(dead_code, reason = "part of the file format")] f64,
    f64,
);

/// Returns the definition of the subcommand.
#[must_use]
pub fn command() -> Command {
    Command::new("worth")
        .about("Prints, by cause, the worth that the days of journal entries lost")
        .arg(
            Arg::new("entry")
                .value_name("FILE")
                .help("Journal entries of the users' bench")
                .value_parser(value_parser!(PathBuf))
                .action(ArgAction::Append)
                .num_args(1..)
                .required(true),
        )
}

/// Prints a table of causes for each entry.
///
/// # Errors
/// [`Error::Measurement`] if an entry can't be read.
pub fn run(matches: &ArgMatches) -> Result<ExitCode, Report<Error>> {
    for path in matches.get_many::<PathBuf>("entry").unwrap_or_default() {
        let file = File::open(path).change_context(Error::Measurement)?;
        let entry: Entry = serde_json::from_reader(file).change_context(Error::Measurement)?;
        println!("{}\n{}", entry.site, table(&entry));
    }
    Ok(ExitCode::SUCCESS)
}

/// Returns a table with a column per day and a row per cause, in decreasing order of the first
/// day's loss. The last two rows are the sum of the smaller causes, and 1 minus the worth of the
/// day.
#[must_use]
pub fn table(entry: &Entry) -> String {
    let days: Vec<Vec<(String, f64)>> = entry.days.iter().map(Day::causes).collect();
    let mut names: Vec<&String> = Vec::new();
    for (name, _) in days.iter().flatten() {
        if !names.contains(&name) {
            names.push(name);
        }
    }
    let loss = |day: &[(String, f64)], name: &String| -> f64 {
        day.iter().filter(|it| it.0 == *name).map(|it| it.1).sum()
    };
    let mut rows: Vec<(&str, Vec<f64>)> = names
        .into_iter()
        .map(|name| {
            (
                name.as_str(),
                days.iter().map(|it| loss(it, name)).collect(),
            )
        })
        .collect();
    let first = |it: &Vec<f64>| it.first().copied().unwrap_or_default();
    rows.sort_by(|a, b| first(&b.1).total_cmp(&first(&a.1)));
    let mut table = Table::new();
    table.load_style(presets::ASCII_MARKDOWN);
    let titles = entry.days.iter().map(|it| it.name.clone());
    table.set_header(std::iter::once("lost to".to_owned()).chain(titles));
    let mut add_row = |name: &str, values: &[f64]| {
        let values = values.iter().map(|it| format!("{it:.3}"));
        table.add_row(std::iter::once(name.to_owned()).chain(values));
    };
    let mut rest = vec![0.0; days.len()];
    for (name, values) in &rows {
        if values.iter().any(|it| it.abs() >= MIN_SHOWN_LOSS) {
            add_row(name, values);
        } else {
            rest.iter_mut().zip(values).for_each(|(sum, it)| *sum += it);
        }
    }
    add_row("other causes", &rest);
    let missing: Vec<f64> = entry.days.iter().map(|it| 1.0 - it.worth).collect();
    add_row("total", &missing);
    table.to_string()
}

impl Day {
    fn causes(&self) -> Vec<(String, f64)> {
        let parts = self.parts.iter().map(|Part(name, weight, earned)| {
            let name = format!("credit: {name}");
            (name, weight * (1.0 - earned))
        });
        let prices = self
            .prices
            .iter()
            .map(|Price(name, _, price)| (name.clone(), *price));
        parts.chain(prices).collect()
    }
}
