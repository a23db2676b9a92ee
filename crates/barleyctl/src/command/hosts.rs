//! `hosts`.

use clap::ArgMatches;
use error_stack::Report;
use gate::operator::{Host, Status};
use kernel::HostName;
use serde_json::json;

use super::subcommand;
use crate::cli::{arg, verb};
use crate::error::Error;
use crate::output;
use crate::session::Session;

/// The heads of a table of hosts.
pub(super) const HEAD: [&str; 7] = [
    "HOST",
    "DATA CENTRE",
    "ADDRESS",
    "STATE",
    "REVISION",
    "PROOF",
    "LOAD",
];

/// Runs a command on hosts.
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

/// The hosts that `status` tells of, by name.
pub(super) fn sorted(status: &Status) -> Vec<&Host> {
    let mut hosts: Vec<&Host> = status.peers.iter().chain([&status.host]).collect();
    hosts.sort_by(|left, right| left.name.cmp(&right.name));
    hosts
}

/// The columns of a host.
pub(super) fn row(host: &Host) -> Vec<String> {
    vec![
        host.name.to_string(),
        host.data_centre.to_string(),
        host.address.clone(),
        host.state.to_string(),
        host.revision.to_string(),
        format!("{} ms ago", host.proof_age_ms),
        host.load.to_string(),
    ]
}

async fn list(session: &mut Session<'_, '_>) -> Result<(), Report<Error>> {
    let status = session.client.status().await?;
    let hosts = sorted(&status);
    let rows: Vec<_> = hosts.iter().map(|host| row(host)).collect();
    output::rows(session, &HEAD, &rows, &json!(hosts));
    Ok(())
}

async fn drain(matches: &ArgMatches, session: &mut Session<'_, '_>) -> Result<(), Report<Error>> {
    let name: &String = matches
        .get_one(arg::NAME)
        .expect("the command line asks for a name");
    let name = HostName::from(name.as_str());
    let status = session.client.status().await?;
    if !sorted(&status).iter().any(|host| host.name == name) {
        return Err(Error::Input(format!("there is no host {name}")).into());
    }
    session.client.drain(&name).await?;
    let text =
        format!("host {name} was asked to drain; `barleyctl hosts list` shows how far it is\n");
    output::text(session, &text, &json!({"host": name, "asked": true}));
    Ok(())
}
