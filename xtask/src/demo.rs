//! `cargo xtask demo`: runs stand-ins and hosts under a mixed workload of two organisations while
//! a version is rolled out, another one is withdrawn and a host is killed.

mod driver;
pub(crate) mod organisations;
mod report;
mod script;

use std::process::ExitCode;
use std::time::{Duration, Instant};

use async_std::task;
use clap::{Arg, ArgMatches, Command, value_parser};
use error_stack::Report;

use crate::error::Error;
use crate::reconcile::{SiteRecords, Tally};
use crate::site::{Binaries, EntryHost, Profile, Site};

/// Time for all drained hosts to hand over their records and exit.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(12);

/// Returns the definition of the subcommand.
#[must_use]
pub fn command() -> Command {
    Command::new("demo")
        .about(
            "Runs a mixed workload on three hosts while versions change and a host is killed, \
             and checks the responses against the stand-ins' records",
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .help("Seconds in which work items start")
                .value_parser(value_parser!(u64).range(8..=40))
                .default_value("20"),
        )
        .arg(
            Arg::new("rate")
                .long("rate")
                .help("Work items per second")
                .value_parser(value_parser!(u32).range(1..=500))
                .default_value("60"),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .help("Seed of the random numbers")
                .value_parser(value_parser!(u64))
                .default_value("1"),
        )
        .arg(
            Arg::new("logs")
                .long("logs")
                .help("Number of last lines of each host's log to print at the end")
                .value_parser(value_parser!(usize))
                .default_value("0"),
        )
}

/// Runs the demo.
///
/// # Errors
/// If the build fails, the site doesn't start, or a host or stand-in refuses a request or doesn't
/// respond. A violated guarantee is not an error but shows in the figures. The exit code is a
/// failure if a count of violations that must be zero is not, or if no call was answered.
pub fn run(matches: &ArgMatches) -> Result<ExitCode, Report<Error>> {
    let binaries = Binaries::build(Profile::Dev)?;
    task::block_on(run_demo(binaries, matches))
}

async fn run_demo(binaries: Binaries, matches: &ArgMatches) -> Result<ExitCode, Report<Error>> {
    let seed = value::<u64>(matches, "seed");
    let length = Duration::from_secs(value(matches, "seconds"));
    let rate = f64::from(value::<u32>(matches, "rate"));
    let mut site = Site::start(binaries, &organisations::stand_ins(seed))?;
    site.settings = organisations::settings();
    for (name, data_centre) in organisations::HOSTS {
        site.add_host(name, data_centre).await?;
    }
    site.wait_until_alive().await?;
    let setup = organisations::configure(&site.operator()).await?;
    site.wait_until_ready().await?;
    let driver = driver::start(&site, seed, rate, length);
    let withdrawal = script::run(&mut site, &setup, length).await?;
    let calls = driver.await;
    let exits = drain(&mut site).await;
    let site_records = SiteRecords {
        executions: site.stand_ins.executions().await?,
        service_executions: site.stand_ins.service_executions().await?,
        billing_records: site.stand_ins.billing_records().await?,
        allowed: setup.allowed,
        withdrawal: Some(withdrawal),
    };
    let table = site.stand_ins.table().await?;
    let tally = Tally::count(&calls, &site_records);
    for (name, _) in organisations::HOSTS {
        let log = site.log(name, value(matches, "logs"));
        if !log.is_empty() {
            println!("-- {name}\n{log}");
        }
    }
    drop(site);
    report::print(&calls, &site_records, &table, &exits, &tally);
    let passed = report::guarantees_hold(&tally);
    Ok(if passed {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

/// Drains the hosts that still run and returns for each host whether its process exited.
async fn drain(site: &mut Site) -> Vec<String> {
    let operator = site.operator();
    for entry in &mut site.entry_hosts {
        if entry.process.is_running() {
            // A refused drain shows below: the process does not exit.
            let _ = operator.drain(entry.operators, &entry.name).await;
        }
    }
    let deadline = Instant::now() + DRAIN_TIMEOUT;
    let exit_state = |entry: &mut EntryHost| {
        let left = deadline.saturating_duration_since(Instant::now());
        let exited = entry.process.exits_within(left);
        let state = if exited { "exited" } else { "did not exit" };
        format!("{} {state}", entry.name)
    };
    site.entry_hosts.iter_mut().map(exit_state).collect()
}

fn value<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> T {
    matches
        .get_one::<T>(name)
        .cloned()
        .expect("the argument has a default value")
}
