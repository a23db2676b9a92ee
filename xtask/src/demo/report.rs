//! The printed report of the demo.

use std::collections::BTreeMap;

use comfy_table::Table;

use crate::caller::Call;
use crate::reconcile::{KindRow, Sessions, SiteRecords, Tally, rows_by_kind};
use crate::site::TableRecords;
use crate::workload::Route;

const MICROCENTS_PER_CENT: u64 = 1_000_000;

/// Prints tables and, as the last line, the figures as JSON.
pub(crate) fn print(
    calls: &[Call],
    site_records: &SiteRecords,
    table: &TableRecords,
    exits: &[String],
    tally: &Tally,
) {
    let mut rows = Table::new();
    rows.set_header([
        "kind",
        "calls",
        "answered",
        "good",
        "retried",
        "cost (cents)",
        "billed (cents)",
        "unbilled",
        "p50 ms",
        "p99 ms",
        "refused",
        "lost",
    ]);
    for kind_row in rows_by_kind(calls, site_records) {
        rows.add_row(row(&kind_row));
    }
    println!("{rows}");
    println!("hosts: {}", exits.join(", "));
    println!("executions by version: {}", versions(site_records));
    let sessions = Sessions::count(calls);
    println!(
        "conversations: {}; changes of version reported to the caller: {}, not reported: {}",
        sessions.conversations, sessions.reported_moves, sessions.unreported_moves
    );
    println!(
        "table: {} reads, {} writes; executions: {} on engines, {} on services; {} billing records",
        table.reads,
        table.writes,
        site_records.executions.len(),
        site_records.service_executions.len(),
        site_records.billing_records.len()
    );
    let json = serde_json::to_string(tally).expect("the figures can be serialized to JSON");
    println!("{json}");
}

/// Returns whether at least one call was answered and the counts of violations that must be zero
/// are zero.
pub(crate) fn guarantees_hold(tally: &Tally) -> bool {
    let violations = [
        tally.not_run_but_ran,
        tally.lost,
        tally.doubled,
        tally.billed_twice,
        tally.disallowed,
    ];
    tally.answered > 0 && violations.iter().all(|it| *it == 0)
}

fn row(kind_row: &KindRow) -> Vec<String> {
    vec![
        kind_row.kind.to_string(),
        kind_row.calls.to_string(),
        kind_row.answered.to_string(),
        good(kind_row),
        kind_row.retried.to_string(),
        cents(kind_row.cost_microcents),
        cents(kind_row.billed_microcents),
        kind_row.unbilled.to_string(),
        format!("{:.1}", kind_row.p50_ms),
        format!("{:.1}", kind_row.p99_ms),
        reasons(&kind_row.refusals),
        reasons(&kind_row.losses),
    ]
}

fn versions(site_records: &SiteRecords) -> String {
    let mut counts: BTreeMap<&str, u64> = BTreeMap::new();
    for execution in &site_records.executions {
        *counts.entry(&execution.version).or_default() += 1;
    }
    let list: Vec<_> = counts.iter().map(|(id, it)| format!("{id} {it}")).collect();
    list.join(", ")
}

/// Returns the number of good responses, or `-` for a plain service, whose responses are not
/// marked good or bad.
fn good(kind_row: &KindRow) -> String {
    match kind_row.kind.route() {
        Route::Chat { .. } => kind_row.good.to_string(),
        Route::Plain { .. } => "-".to_owned(),
    }
}

/// Formats an amount as cents with four decimal places.
fn cents(microcents: u64) -> String {
    let rest = microcents % MICROCENTS_PER_CENT / 100;
    format!("{}.{rest:04}", microcents / MICROCENTS_PER_CENT)
}

fn reasons(reasons: &BTreeMap<String, u64>) -> String {
    let list: Vec<_> = reasons
        .iter()
        .map(|(reason, count)| format!("{count} {reason}"))
        .collect();
    list.join("\n")
}
