//! The command `hosts`, and the table of hosts.

use clap::ArgMatches;
use error_stack::Report;
use gate::operator::Host;
use kernel::HostName;
use serde_json::json;

use super::subcommand;
use crate::cli::{arg, verb};
use crate::error::Error;
use crate::output;
use crate::roster::Roster;
use crate::session::Session;

/// The header of the table of hosts.
pub(super) const HEADER: [&str; 7] = [
    "HOST",
    "DATA CENTRE",
    "ADDRESS",
    "STATE",
    "REVISION",
    "PROOF",
    "LOAD",
];

/// Runs a subcommand of `hosts`.
pub(super) async fn run(
    matches: &ArgMatches,
    session: &mut Session<'_, '_>,
) -> Result<(), Report<Error>> {
    let (verb, matches) = subcommand(matches);
    match verb {
        verb::DRAIN => drain(matches, session).await,
        _ => list(session).await,
    }
}

/// Returns the table row of a host.
pub(super) fn row(host: &Host) -> Vec<String> {
    vec![
        host.name.to_string(),
        host.data_centre.to_string(),
        host.address.clone(),
        host.state.to_string(),
        host.revision.to_string(),
        proof(host),
        host.load.to_string(),
    ]
}

/// Formats the time since the host last had proof that its configuration is the
/// newest.
fn proof(host: &Host) -> String {
    match host.proof_age_ms {
        u64::MAX => "unknown".to_owned(),
        age => format!("{age} ms ago"),
    }
}

async fn list(session: &mut Session<'_, '_>) -> Result<(), Report<Error>> {
    let roster = Roster::merge(&session.client.statuses().await?);
    let rows: Vec<_> = roster.hosts.iter().map(row).collect();
    output::print_rows(session, &HEADER, &rows, &json!(roster.hosts));
    Ok(())
}

async fn drain(matches: &ArgMatches, session: &mut Session<'_, '_>) -> Result<(), Report<Error>> {
    let name: &String = matches
        .get_one(arg::NAME)
        .expect("the name is a required argument");
    let name = HostName::from(name.as_str());
    let roster = Roster::merge(&session.client.statuses().await?);
    if !roster.hosts.iter().any(|host| host.name == name) {
        return Err(Error::Input(format!("there is no host {name}")).into());
    }
    session.client.drain(&name).await?;
    let text =
        format!("host {name} was asked to drain; `barleyctl hosts list` shows how far it is\n");
    output::print_text(session, &text, &json!({"host": name, "asked": true}));
    Ok(())
}
