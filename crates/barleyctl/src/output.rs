//! Printing of results and errors.

use std::time::{Duration, UNIX_EPOCH};

use clap::ArgMatches;
use comfy_table::{Table, presets};
use error_stack::Report;
use gate::operator::Accepted;
use serde_json::{Value, json};

use crate::cli::arg;
use crate::client::Change;
use crate::console::Console;
use crate::error::Error;
use crate::session::Session;
use crate::wait::Propagation;

/// The output format.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Format {
    /// Text for people, with rows as a table.
    Table,
    /// JSON for programs, one value per command.
    Json,
}

impl Format {
    /// Returns the format that the command line selects.
    pub(crate) fn from_matches(matches: &ArgMatches) -> Self {
        match matches.get_one::<String>(arg::OUTPUT).map(String::as_str) {
            Some("json") => Self::Json,
            _ => Self::Table,
        }
    }
}

/// Prints a table with a header, or `json`, depending on the output format.
pub(crate) fn print_rows(
    session: &mut Session<'_, '_>,
    header: &[&str],
    rows: &[Vec<String>],
    json: &Value,
) {
    match session.format {
        Format::Table => session.console.print(&format_table(header, rows)),
        Format::Json => print_json(session.console, json),
    }
}

/// Prints `text` or `json`, depending on the output format.
pub(crate) fn print_text(session: &mut Session<'_, '_>, text: &str, json: &Value) {
    match session.format {
        Format::Table => session.console.print(text),
        Format::Json => print_json(session.console, json),
    }
}

/// Prints the result of an accepted change.
pub(crate) fn print_accepted(
    session: &mut Session<'_, '_>,
    change: &Change,
    accepted: &Accepted,
    propagation: &Propagation,
) {
    let hosts = Propagation::join_names(&propagation.in_force);
    let (name, revision) = (&change.name, accepted.revision);
    let mut lines = vec![format!(
        "{name}: revision {revision} is in force on {hosts}\n"
    )];
    if !propagation.not_heard_from.is_empty() {
        let names = Propagation::join_names(&propagation.not_heard_from);
        lines.push(format!("not heard from: {names}\n"));
    }
    let json = json!({
        "entry": change.name,
        "change": change.id,
        "revision": accepted.revision,
        "repeated": accepted.repeated,
        "in_force": propagation.in_force,
        "not_heard_from": propagation.not_heard_from,
    });
    print_text(session, &lines.concat(), &json);
}

/// Prints the error of a command to standard error.
pub(crate) fn print_failure(console: &mut Console<'_>, format: Format, report: &Report<Error>) {
    let error = report.current_context();
    match format {
        Format::Table => console.print_err(&format!("{}\n", format!("{report:#}").trim_end())),
        Format::Json => {
            let json = failure_json(error, &format!("{report:#}"));
            console.print_err(&format!("{json}\n"));
        }
    }
}

/// Formats a table without borders, indentation or trailing blanks.
pub(crate) fn format_table(header: &[&str], rows: &[Vec<String>]) -> String {
    let mut table = Table::new();
    table
        .load_style(presets::NOTHING)
        .set_header(header.to_vec());
    for row in rows {
        table.add_row(row.clone());
    }
    let lines: Vec<_> = table
        .lines()
        .map(|line| {
            line.strip_prefix(' ')
                .unwrap_or(&line)
                .trim_end()
                .to_owned()
        })
        .collect();
    lines.join("\n") + "\n"
}

/// Formats a time since the Unix epoch in UTC (RFC 3339), to the second.
pub(crate) fn format_time(when: Duration) -> String {
    // A time that overflows `SystemTime` is shown in seconds.
    let time = UNIX_EPOCH.checked_add(when);
    let formatted = time.map(|time| humantime::format_rfc3339_seconds(time).to_string());
    formatted.unwrap_or_else(|| format!("{} s", when.as_secs()))
}

fn failure_json(error: &Error, message: &str) -> Value {
    let exit = error.exit();
    let mut json = json!({
        "error": exit.to_string(),
        "exit": exit.code(),
        "message": message,
    });
    match error {
        Error::Faults(faults) => json["faults"] = json!(faults),
        Error::Conflict(conflict) => {
            json["entry"] = json!(conflict.entry);
            json["current_revision"] = json!(conflict.current_revision);
            json["diff"] = json!(conflict.diff);
        }
        Error::Refused(problem) => json["problem"] = json!(problem),
        Error::Unknown { change, .. } => json["change"] = json!(change),
        Error::Lagging(propagation) => json["reach"] = json!(propagation),
        Error::Usage(_)
        | Error::ReadFile(_)
        | Error::WriteFile(_)
        | Error::Input(_)
        | Error::Keys
        | Error::NotFound(_)
        | Error::Unreachable(_) => {}
    }
    json
}

fn print_json(console: &mut Console<'_>, json: &Value) {
    console.print(&format!("{json:#}\n"));
}
