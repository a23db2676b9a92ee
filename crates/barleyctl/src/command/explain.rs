//! The command `explain`: the outcome of a request, from the hosts' logs.

mod line;

use std::fs;
use std::path::PathBuf;

use clap::ArgMatches;
use error_stack::{Report, ResultExt};
use serde_json::json;

use crate::cli::arg;
use crate::console::Console;
use crate::error::Error;
use crate::output::{self, Format};

use line::{LogLine, LogLines};

/// Event numbers; docs/reference/relay-events.md lists all of them.
mod event {
    pub(super) const ANSWERED: u64 = 1100;
    pub(super) const DENIED: u64 = 1101;
    pub(super) const REFUSED: u64 = 1102;
    pub(super) const FAILED: u64 = 1103;
    pub(super) const PASSED: u64 = 1104;
    pub(super) const CALLER_GONE: u64 = 1105;
    pub(super) const ATTEMPT: u64 = 1200;
}

/// Reads logs and prints a summary and the events of a request.
pub(crate) fn run(matches: &ArgMatches, console: &mut Console<'_>) -> Result<(), Report<Error>> {
    let request: &String = matches
        .get_one(arg::NAME)
        .expect("the request is a required argument");
    let lines = read_logs(matches, console)?;
    let matching = lines.of_request(request);
    if matching.is_empty() {
        let (read, unreadable) = (lines.events.len(), lines.unreadable);
        let text = format!(
            "no line is about request {request}, of {read} read; {unreadable} could not be read"
        );
        return Err(Error::Input(text).into());
    }
    let summary = summarize(request, &matching, lines.unreadable);
    match Format::from_matches(matches) {
        Format::Table => {
            console.print(&format!("{summary}\n\n"));
            console.print(&table(&matching));
        }
        Format::Json => {
            let raw: Vec<_> = matching.iter().map(|it| &it.value).collect();
            let json = json!({
                "request": request,
                "story": summary,
                "unreadable": lines.unreadable,
                "lines": raw,
            });
            console.print(&format!("{json}\n"));
        }
    }
    Ok(())
}

fn read_logs(matches: &ArgMatches, console: &mut Console<'_>) -> Result<LogLines, Report<Error>> {
    let mut lines = LogLines::default();
    let files = matches.get_many::<PathBuf>(arg::FILE).unwrap_or_default();
    if files.len() == 0 {
        let text = console
            .read_input()
            .change_context_lazy(|| Error::Input("can't read standard input".to_owned()))?;
        lines.add(&text);
    }
    for path in files {
        // A truncated log may end within a UTF-8 character.
        let bytes = fs::read(path).change_context_lazy(|| Error::ReadFile(path.clone()))?;
        lines.add(&String::from_utf8_lossy(&bytes));
    }
    lines.sort();
    Ok(lines)
}

fn summarize(request: &str, matching: &[&LogLine], unreadable: usize) -> String {
    let mut parts = Vec::new();
    match matching.iter().rfind(|it| it.event() != event::ATTEMPT) {
        Some(last_other) => {
            parts.push(format!("Request {request}{}.", describe_origin(last_other)));
            if let Some(trail) = last_other.text("trail").filter(|it| !it.is_empty()) {
                parts.push(format!("Its attempts (endpoint, ending, ms): {trail}."));
            }
            parts.push(describe_end(last_other));
        }
        None => parts.push(format!(
            "Request {request}: the lines have attempts and no end. It may be under way, or the \
             host ended, or the line was dropped."
        )),
    }
    let last = matching.iter().rfind(|it| it.event() == event::ATTEMPT);
    parts.extend(last.map(|it| describe_last_attempt(it)));
    if unreadable > 0 {
        parts.push(format!("{unreadable} lines could not be read."));
    }
    parts.join(" ")
}

fn describe_origin(line: &LogLine) -> String {
    let named = |name: &str, words: &str| {
        line.text(name)
            .map(|it| format!(" {words} {it}"))
            .unwrap_or_default()
    };
    format!(
        "{}{}{}",
        named("customer", "of"),
        named("route", "by route"),
        named("host", "reached")
    )
}

/// Describes the request's last event that isn't an attempt and, if the request was
/// denied, refused or failed, whether it may have run.
fn describe_end(line: &LogLine) -> String {
    let ms = line.count("ms").unwrap_or(0);
    let config = line
        .count("config")
        .map_or("no configuration".to_owned(), |it| {
            format!("configuration {it}")
        });
    let status = line.count("status").unwrap_or(0);
    match line.event() {
        event::ANSWERED => format!("It was answered whole with status {status} after {ms} ms."),
        event::DENIED => {
            let reason = line.text("reason").unwrap_or("unknown");
            format!(
                "It was turned away with status {status} ({reason}) under {config}; no endpoint \
                 saw it."
            )
        }
        event::REFUSED => {
            let after = line.count("retry_after_ms").unwrap_or(0);
            format!(
                "It was refused with status {status} after {ms} ms and has not run; the caller \
                 was asked to come back after {after} ms."
            )
        }
        event::FAILED if status == 200 => {
            format!("Its answer broke off midway after {ms} ms; it may have run.")
        }
        event::FAILED => {
            let reason = line.text("reason").unwrap_or("unknown");
            format!("It failed with status {status} ({reason}) after {ms} ms; it may have run.")
        }
        event::PASSED => {
            format!("The endpoint's own failure, status {status}, was passed on after {ms} ms.")
        }
        event::CALLER_GONE => format!("The caller left after {ms} ms."),
        _ => format!("{} (status {status}, after {ms} ms.)", line.message()),
    }
}

/// Describes the last logged attempt and the data from which its endpoint was chosen.
fn describe_last_attempt(attempt: &LogLine) -> String {
    let number = |name: &str| {
        attempt
            .number(name)
            .map_or("unknown".to_owned(), std::string::ToString::to_string)
    };
    let withheld = match attempt.text("withheld") {
        Some("emptied") => " (its data centre was emptied meanwhile, so nothing was sent)",
        Some("leaving") => " (it was leaving by then, so nothing was sent)",
        Some("cold") => {
            " (it had just started and this host's share was used up; nothing was sent)"
        }
        _ => "",
    };
    format!(
        "The last attempt told of, to {} at {}, ended as {}{withheld}: chosen among {} candidates, \
         believed {} full by a report {} ms old and a listing {} ms old, with {} ms left.",
        attempt.text("endpoint").unwrap_or("an unknown endpoint"),
        attempt.text("address").unwrap_or("an unknown address"),
        attempt.text("ending").unwrap_or("unknown"),
        number("candidates"),
        number("used"),
        number("load_age_ms"),
        number("listing_age_ms"),
        number("left_ms"),
    )
}

fn table(matching: &[&LogLine]) -> String {
    let rows: Vec<Vec<String>> = matching
        .iter()
        .map(|it| {
            let text = |name: &str| it.text(name).unwrap_or_default().to_owned();
            let count = |name: &str| it.count(name).map_or(String::new(), |it| it.to_string());
            vec![
                it.time().to_owned(),
                text("host"),
                it.message().to_owned(),
                text("endpoint"),
                text("ending"),
                count("status"),
                count("ms"),
            ]
        })
        .collect();
    let header = [
        "time", "host", "event", "endpoint", "ending", "status", "ms",
    ];
    output::format_table(&header, &rows)
}
