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
use crate::reconcile::{Evidence, Tally};
use crate::site::{Binaries, Entry, Profile, Site};

/// Timeout for a drained host to hand over its records and exit.
const DRAIN_LIMIT: Duration = Duration::from_secs(12);

/// Returns the definition of the subcommand.
#[must_use]
pub fn command() -> Command {
    Command::new("demo")
        .about("Starts stand-ins and three hosts, runs a mixed workload and checks the responses against the records")
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .help("Duration of the workload")
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
                .help("Print so many of the last lines of each host's log at the end")
                .value_parser(value_parser!(usize))
                .default_value("0"),
        )
}

/// Runs the demo.
///
/// # Errors
/// If the site doesn't start or a stand-in doesn't respond. A violated guarantee is not an error
/// but shows in the figures and in the exit code.
pub fn run(matches: &ArgMatches) -> Result<ExitCode, Report<Error>> {
    let binaries = Binaries::build(Profile::Dev)?;
    task::block_on(play(binaries, matches))
}

async fn play(binaries: Binaries, matches: &ArgMatches) -> Result<ExitCode, Report<Error>> {
    let seed = value::<u64>(matches, "seed");
    let length = Duration::from_secs(value(matches, "seconds"));
    let rate = f64::from(value::<u32>(matches, "rate"));
    let mut site = Site::start(binaries, &organisations::stand_ins(seed))?;
    site.settings = organisations::settings();
    for (name, data_centre) in organisations::HOSTS {
        site.add(name, data_centre).await?;
    }
    site.alive().await?;
    let setup = organisations::configure(&site.operator()).await?;
    site.ready().await?;
    let driver = driver::start(&site, seed, rate, length);
    let withdrawal = script::play(&mut site, &setup, length).await?;
    let calls = driver.await;
    let ended = drain(&mut site).await;
    let evidence = Evidence {
        executions: site.stand_ins.executions().await?,
        runs: site.stand_ins.runs().await?,
        bills: site.stand_ins.bills().await?,
        allowed: setup.allowed,
        withdrawal: Some(withdrawal),
    };
    let table = site.stand_ins.table().await?;
    let tally = Tally::count(&calls, &evidence);
    for (name, _) in organisations::HOSTS {
        let log = site.log(name, value(matches, "logs"));
        if !log.is_empty() {
            println!("-- {name}\n{log}");
        }
    }
    drop(site);
    report::print(&calls, &evidence, &table, &ended, &tally);
    let held = report::is_whole(&tally);
    Ok(if held {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

/// Drains the hosts that still run and returns for each host whether its process exited.
async fn drain(site: &mut Site) -> Vec<String> {
    let operator = site.operator();
    for entry in &mut site.entries {
        if entry.process.is_running() {
            // A refused drain shows below: the process does not exit.
            let _ = operator.drain(entry.operators, &entry.name).await;
        }
    }
    let deadline = Instant::now() + DRAIN_LIMIT;
    let ended = |entry: &mut Entry| {
        let left = deadline.saturating_duration_since(Instant::now());
        let ended = entry.process.ends_within(left);
        let how = if ended { "ended" } else { "did not end" };
        format!("{} {how}", entry.name)
    };
    site.entries.iter_mut().map(ended).collect()
}

fn value<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> T {
    matches
        .get_one::<T>(name)
        .cloned()
        .expect("the argument has a default value")
}
