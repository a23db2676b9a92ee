//! The answers of hosts as text.

use std::fmt::Write;
use std::time::Duration;

use route::{Candidate, Excluded, Explanation, Prospect};

use super::difference::{Difference, Standing};
use crate::client::Answer;
use crate::output::format_table;

/// Formats the whole answer of one host.
pub(super) fn details(answer: &Answer) -> String {
    let stopping = if answer.is_stopping {
        "; it is shutting down"
    } else {
        ""
    };
    let host = &answer.host;
    let prospect = match &answer.explanation {
        Explanation::Denied(denial) => {
            return format!("{host} would deny the request: {denial}{stopping}\n");
        }
        Explanation::Admitted(prospect) => prospect,
    };
    let mut parts = vec![format!(
        "{host} would {}{stopping}\n{}",
        decision(prospect),
        facts(prospect)
    )];
    if !prospect.candidates.is_empty() {
        parts.push(candidates(prospect));
    }
    if !prospect.excluded.is_empty() {
        let rows: Vec<_> = prospect.excluded.iter().map(excluded_row).collect();
        let header = ["EXCLUDED", "ADDRESS", "DATA CENTRE", "RELEASE", "REASON"];
        parts.push(format_table(&header, &rows));
    }
    parts.join("\n")
}

/// Formats the decisions of several hosts, and the endpoints that they judge differently.
pub(super) fn comparison(answers: &[&Answer], differences: &[Difference]) -> String {
    let row = |answer: &&Answer| match &answer.explanation {
        Explanation::Denied(denial) => {
            let cells = [answer.host.to_string(), format!("denied: {denial}")];
            cells.into_iter().chain(vec![String::new(); 6]).collect()
        }
        Explanation::Admitted(prospect) => vec![
            answer.host.to_string(),
            first(prospect),
            prospect.candidates.len().to_string(),
            prospect.excluded.len().to_string(),
            prospect
                .model
                .as_ref()
                .map(ToString::to_string)
                .unwrap_or_default(),
            side(prospect),
            prospect.config.map(|it| it.to_string()).unwrap_or_default(),
            age(prospect.listing_age),
        ],
    };
    let rows: Vec<Vec<String>> = answers.iter().map(row).collect();
    let header = [
        "HOST",
        "FIRST",
        "CANDIDATES",
        "EXCLUDED",
        "MODEL",
        "RELEASE",
        "CONFIG",
        "LISTING",
    ];
    let summary = format_table(&header, &rows);
    let Some(first) = differences.first() else {
        let admitting = answers.iter().filter(|it| it.prospect().is_some());
        return match admitting.count() {
            0 | 1 => summary,
            _ => format!("{summary}\nthe hosts judge all endpoints alike\n"),
        };
    };
    let hosts = first.standings.iter().map(|it| it.0.to_string());
    let header: Vec<String> = ["DIFFERS".to_owned()].into_iter().chain(hosts).collect();
    let header: Vec<&str> = header.iter().map(String::as_str).collect();
    let rows: Vec<_> = differences.iter().map(difference_row).collect();
    format!("{summary}\n{}", format_table(&header, &rows))
}

/// Describes what a host would do with the request.
fn decision(prospect: &Prospect) -> String {
    let possible = prospect.candidates.iter().filter(|it| it.may_be_chosen);
    let possible: Vec<_> = possible.map(|it| it.id.as_str()).collect();
    let retry_after = prospect.retry_after.unwrap_or_default().as_millis();
    match possible.as_slice() {
        [] => format!("refuse the request: no endpoint; retry after {retry_after} ms"),
        [one] => format!("send the request to {one}"),
        [first, others @ ..] => format!(
            "send the request to {first} or, by its random term, to {}",
            others.join(", ")
        ),
    }
}

/// Lists what the decision depends on, one fact a line.
fn facts(prospect: &Prospect) -> String {
    let mut lines = vec![
        format!("route {}, service {}", prospect.route, prospect.service),
        format!("priority {}", prospect.priority),
    ];
    if let Some(it) = &prospect.customer {
        let _ = write!(lines[0], ", customer {it}");
    }
    if let Some(it) = &prospect.model {
        let _ = write!(lines[1], ", model {it}");
    }
    if let Some(it) = &prospect.assignment {
        lines.push(format!(
            "roll-out of {} ({}, share {:.2}): assigned to the {} release, {} release used",
            it.release, it.verdict, it.share, it.side, it.used
        ));
    }
    let retries = prospect.retries_left;
    lines.push(format!(
        "filter {}, endpoints {}, connections {}, live hosts {}, retries left {}",
        prospect.leniency,
        prospect.reach,
        prospect
            .connections
            .map_or("unknown".to_owned(), |it| it.to_string()),
        prospect.live_hosts,
        retries.map_or("unknown".to_owned(), |it| format!("{it:.0}")),
    ));
    lines.push(format!(
        "configuration {}, listing {}",
        prospect
            .config
            .map_or("unknown".to_owned(), |it| it.to_string()),
        age(prospect.listing_age)
    ));
    lines
        .iter()
        .map(|it| format!("  {it}\n"))
        .collect::<Vec<_>>()
        .concat()
}

/// Formats the candidates with the terms of their scores. Terms that are zero for all of them are
/// left out, and the random term is shown as its range.
fn candidates(prospect: &Prospect) -> String {
    let terms: Vec<_> = prospect
        .candidates
        .iter()
        .map(|it| it.score.terms())
        .collect();
    let names = terms
        .first()
        .map(|it| it.map(|it| it.0))
        .unwrap_or_default();
    let is_shown =
        |index: usize| names[index] == "random" || terms.iter().any(|it| it[index].1 != 0.0);
    let shown: Vec<usize> = (0..names.len()).filter(|it| is_shown(*it)).collect();
    let mut header = vec!["CANDIDATE".to_owned(), "TOTAL".to_owned()];
    header.extend(
        shown
            .iter()
            .map(|it| names[*it].to_uppercase().replace('_', " ")),
    );
    header.extend(
        [
            "USED",
            "IN FLIGHT",
            "REPORT",
            "LIMIT",
            "RELEASE",
            "DATA CENTRE",
        ]
        .map(str::to_owned),
    );
    let row = |it: &Candidate| {
        let terms = it.score.terms();
        let term = |index: &usize| match terms[*index] {
            ("random", _) => format!("0 to {}", prospect.random_range),
            (_, value) => format!("{value:.3}"),
        };
        let mut cells = vec![it.id.to_string(), format!("{:.3}", it.total)];
        cells.extend(shown.iter().map(term));
        cells.extend([
            format!("{:.0} %", it.utilization * 100.0),
            format!("{} of {}", it.in_flight, it.slots),
            age(it.load_age),
            it.rate_limit
                .map_or("none".to_owned(), |it| format!("{it}/s")),
            it.release.to_string(),
            it.data_centre.to_string(),
        ]);
        cells
    };
    let rows: Vec<_> = prospect.candidates.iter().map(row).collect();
    let header: Vec<&str> = header.iter().map(String::as_str).collect();
    format_table(&header, &rows)
}

fn excluded_row(it: &Excluded) -> Vec<String> {
    vec![
        it.id.to_string(),
        it.address.to_string(),
        it.data_centre.to_string(),
        it.release.to_string(),
        it.reason.to_string(),
    ]
}

fn difference_row(difference: &Difference) -> Vec<String> {
    let format = |standing: &Standing| match standing {
        Standing::Candidate(total) => format!("{total:.3}"),
        Standing::Excluded(reason) => reason.to_string(),
        Standing::Unknown => "unknown".to_owned(),
    };
    let standings = difference.standings.iter().map(|it| format(&it.1));
    [difference.endpoint.to_string()]
        .into_iter()
        .chain(standings)
        .collect()
}

fn first(prospect: &Prospect) -> String {
    let first = prospect.candidates.first();
    first.map_or("none".to_owned(), |it| it.id.to_string())
}

fn side(prospect: &Prospect) -> String {
    let assignment = prospect.assignment.as_ref();
    assignment.map(|it| it.used.to_string()).unwrap_or_default()
}

fn age(age: Option<Duration>) -> String {
    age.map_or("never".to_owned(), |it| {
        format!("{} ms old", it.as_millis())
    })
}
