//! The command `status`.

use error_stack::Report;
use gate::operator::{Backlog, Health, Rollout};
use serde_json::json;

use super::hosts;
use crate::error::Error;
use crate::output;
use crate::roster::Roster;
use crate::session::Session;

/// Prints the hosts, and the versions, roll-outs and backlog as known to the first
/// host, in the order given, that responds.
pub(super) async fn run(session: &mut Session<'_, '_>) -> Result<(), Report<Error>> {
    let statuses = session.client.statuses().await?;
    let roster = Roster::merge(&statuses);
    let rows: Vec<_> = roster.hosts.iter().map(hosts::row).collect();
    let status = &statuses[0];
    let mut parts = vec![
        output::format_table(&hosts::HEADER, &rows),
        format!("as {} knows it:\n", status.host.name),
    ];
    if !status.versions.is_empty() {
        parts.push(versions(&status.versions));
    }
    if !status.rollouts.is_empty() {
        parts.push(rollouts(&status.rollouts));
    }
    parts.push(backlog(status.backlog));
    let json = json!({
        "hosts": roster.hosts,
        "of": status.host.name,
        "versions": status.versions,
        "rollouts": status.rollouts,
        "backlog": status.backlog,
    });
    output::print_text(session, &parts.join("\n"), &json);
    Ok(())
}

fn versions(versions: &[Health]) -> String {
    let row = |it: &Health| {
        vec![
            it.version.to_string(),
            it.state.clone(),
            it.verdict.clone(),
            it.endpoints.to_string(),
        ]
    };
    let rows: Vec<_> = versions.iter().map(row).collect();
    output::format_table(&["VERSION", "STATE", "HEALTH", "ENDPOINTS"], &rows)
}

fn rollouts(rollouts: &[Rollout]) -> String {
    let row = |it: &Rollout| {
        vec![
            it.version.to_string(),
            it.state.clone(),
            format!("{} of {}", it.step + 1, it.steps),
            it.holder
                .as_ref()
                .map(ToString::to_string)
                .unwrap_or_default(),
        ]
    };
    let rows: Vec<_> = rollouts.iter().map(row).collect();
    output::format_table(&["ROLL-OUT", "STATE", "STEP", "HOLDER"], &rows)
}

fn backlog(backlog: Backlog) -> String {
    let Backlog {
        own,
        held,
        oldest_ms,
    } = backlog;
    format!(
        "billing records waiting for the table: {own} own, {held} of others, \
         oldest {oldest_ms} ms\n"
    )
}
