//! `cargo xtask load`: measures the latency that a host adds to an engine's, its throughput and
//! its resource usage.
//!
//! The load is open-loop: each request has a scheduled start that doesn't depend on earlier
//! responses, and its latency counts from there. This avoids coordinated omission: a slow response
//! doesn't hide the delay of the requests after it.

mod constant_rate;
mod measurement;
mod report;
mod setup;
mod target;
mod usage;

use std::process::ExitCode;
use std::time::Duration;

use async_std::task;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use error_stack::Report;

use crate::error::Error;
use crate::load::measurement::Measurement;
use crate::load::report::Figures;
use crate::load::target::{LoadKind, Target};
use crate::site::{Binaries, Profile, Site};

pub use constant_rate::ConstantRate;
pub(crate) use setup::stand_ins;
pub use usage::Usage;

/// Number of rounds. In each, the stand-in is measured first and then the host.
const ROUNDS: u32 = 4;
/// Duration of the load on each target before the measurement, without the ramp-up. It fills
/// pools and caches.
const WARM_UP: Duration = Duration::from_secs(1);
/// Time for the hosts to discover each other.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Returns the definition of the subcommand.
#[must_use]
pub fn command() -> Command {
    Command::new("load")
        .about("Measures the latency that a host adds to a stand-in's under open-loop load")
        .arg(
            Arg::new("json")
                .long("json")
                .help("Print the figures as JSON only")
                .action(ArgAction::SetTrue),
        )
        .arg(
            Arg::new("rate")
                .long("rate")
                .help("Requests per second")
                .value_parser(value_parser!(u32).range(1..=50_000))
                .default_value("1000"),
        )
        .arg(
            Arg::new("tokens")
                .long("tokens")
                .help("Tokens per second over all streams")
                .value_parser(value_parser!(u32).range(100..=1_000_000))
                .default_value("100000"),
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .help("Duration of each kind of load on each target")
                .value_parser(value_parser!(u64).range(1..=600))
                .default_value("8"),
        )
}

/// Runs the measurement.
///
/// # Errors
/// If the programs can't be built, the site doesn't start or refuses its configuration, or the
/// usage of a process can't be read.
pub fn run(matches: &ArgMatches) -> Result<ExitCode, Report<Error>> {
    let binaries = Binaries::build(Profile::Release)?;
    let figures = task::block_on(run_load(binaries, matches))?;
    if matches.get_flag("json") {
        println!("{}", figures.json());
    } else {
        figures.print();
    }
    Ok(ExitCode::SUCCESS)
}

async fn run_load(binaries: Binaries, matches: &ArgMatches) -> Result<Figures, Report<Error>> {
    let rate = value::<u32>(matches, "rate");
    let tokens = value::<u32>(matches, "tokens");
    let duration = Duration::from_secs(value(matches, "seconds")) / ROUNDS;
    let mut site = Site::start(binaries, &setup::stand_ins())?;
    // The second host gets no load. It holds copies of the billing records, as a host in
    // another data centre does for every host in production.
    site.add_host("entry-1", "dar-1").await?;
    site.add_host("entry-2", "dar-2").await?;
    site.wait_until_alive().await?;
    setup::configure(&site.operator()).await?;
    site.wait_until_ready().await?;
    task::sleep(SETTLE_TIME).await;
    let direct = Target::direct(&site);
    let host = Target::host(&site);
    for target in [&direct, &host] {
        for load_kind in [LoadKind::Unary, LoadKind::Streaming] {
            let mut warm_up = Measurement::default();
            target.run(load_kind, 50, WARM_UP / 2, &mut warm_up).await;
        }
    }
    let mut figures = Figures::new(rate, tokens);
    let streams = tokens / setup::STREAM_WORDS;
    let usage = |idx: usize| Usage::of(site.entry_hosts[idx].process.id());
    for _ in 0..ROUNDS {
        measure_direct(&direct, &mut figures.direct, rate, streams, duration).await;
        let (before, copy_holder_before) = (usage(0)?, usage(1)?);
        host.run(LoadKind::Unary, rate, duration, &mut figures.host.unary)
            .await;
        let between = usage(0)?;
        host.run(
            LoadKind::Streaming,
            streams,
            duration,
            &mut figures.host.streaming,
        )
        .await;
        let after = usage(0)?;
        figures.cpu_unary += between.since(&before);
        figures.cpu_streaming += after.since(&between);
        figures.copy_holder_cpu += usage(1)?.since(&copy_holder_before);
        figures.peak_kib = after.peak_kib;
    }
    Ok(figures)
}

async fn measure_direct(
    target: &Target,
    pair: &mut report::Pair,
    rate: u32,
    streams: u32,
    duration: Duration,
) {
    target
        .run(LoadKind::Unary, rate, duration, &mut pair.unary)
        .await;
    target
        .run(LoadKind::Streaming, streams, duration, &mut pair.streaming)
        .await;
}

fn value<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> T {
    matches
        .get_one::<T>(name)
        .cloned()
        .expect("the argument has a default value")
}
