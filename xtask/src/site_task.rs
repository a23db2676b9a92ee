//! `cargo xtask site`: starts the demo's stand-ins and hosts without load, for manual tests.

use std::io;
use std::process::ExitCode;

use async_std::task;
use clap::{ArgMatches, Command};
use error_stack::{Report, ResultExt};

use crate::demo::organisations;
use crate::error::Error;
use crate::site::{Binaries, Profile, Site};

/// Returns the definition of the subcommand.
#[must_use]
pub fn command() -> Command {
    Command::new("site")
        .about("Starts the demo's stand-ins and hosts and keeps them until Enter is pressed")
}

/// Starts a site and stops it after a line or the end of the standard input.
///
/// # Errors
/// If the programs can't be built, the site doesn't start or the standard input can't be read.
pub fn run(_matches: &ArgMatches) -> Result<ExitCode, Report<Error>> {
    let binaries = Binaries::build(Profile::Dev)?;
    let site = task::block_on(start(binaries))?;
    print(&site);
    io::stdin()
        .read_line(&mut String::new())
        .change_context(Error::Site)?;
    drop(site);
    Ok(ExitCode::SUCCESS)
}

async fn start(binaries: Binaries) -> Result<Site, Report<Error>> {
    let mut site = Site::start(binaries, &organisations::stand_ins(1))?;
    for (name, data_centre) in organisations::HOSTS {
        site.add_host(name, data_centre).await?;
    }
    site.wait_until_alive().await?;
    organisations::configure(&site.operator()).await?;
    site.wait_until_ready().await?;
    Ok(site)
}

fn print(site: &Site) {
    let hosts = site
        .entry_hosts
        .iter()
        .map(|it| format!("--host {}", it.operators));
    let hosts = hosts.collect::<Vec<_>>().join(" ");
    println!(
        "Operators, in another terminal:\n\n  alias barleyctl='cargo run -q -p barleyctl -- {hosts} --key-file {}'\n",
        site.operator_key_file().display()
    );
    if let Some(host) = site.entry_hosts.first() {
        println!(
            "Callers, at any of the hosts:\n\n  curl http://{}/v1/chat/completions -H 'authorization: Bearer {}' \\\n    -d '{{\"model\": \"kivuli-era\", \"messages\": [{{\"role\": \"user\", \"content\": \"A tram with a horse. Which era?\"}}]}}'\n",
            host.callers,
            organisations::key(organisations::CUSTOMERS[0])
        );
    }
    println!("Press Enter to stop all processes.");
}
