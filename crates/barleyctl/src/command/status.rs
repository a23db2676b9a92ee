//! `status`.

use error_stack::Report;
use gate::operator::{Backlog, Health, Rollout};
use serde_json::json;

use super::hosts;
use crate::error::Error;
use crate::output;
use crate::session::Session;

/// Shows the fleet as the host that answers knows it.
pub(super) async fn run(session: &mut Session<'_, '_>) -> Result<(), Report<Error>> {
    let status = session.client.status().await?;
    let rows: Vec<_> = hosts::sorted(&status).into_iter().map(hosts::row).collect();
    let mut parts = vec![
        format!("as {} knows it\n", status.host.name),
        output::table(&hosts::HEAD, &rows),
    ];
    if !status.versions.is_empty() {
        parts.push(versions(&status.versions));
    }
    if !status.rollouts.is_empty() {
        parts.push(rollouts(&status.rollouts));
    }
    parts.push(backlog(status.backlog));
    output::text(session, &parts.join("\n"), &json!(status));
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
    output::table(&["VERSION", "STATE", "HEALTH", "ENDPOINTS"], &rows)
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
    output::table(&["ROLL-OUT", "STATE", "STEP", "HOLDER"], &rows)
}

fn backlog(backlog: Backlog) -> String {
    let Backlog {
        own,
        held,
        oldest_ms,
    } = backlog;
    format!(
        "billing records waiting for the table: {own} own, {held} of others, oldest {oldest_ms} ms\n"
    )
}
