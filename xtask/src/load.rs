//! `cargo xtask load`: what one host adds to an engine's own latency, what it
//! sustains and what it costs.
//!
//! The load is open: each request starts at its time, whatever became of those
//! before, and its latency counts from that time. A slow answer therefore can't
//! hide the requests that had to wait behind it.

mod measure;
mod pace;
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
use crate::load::measure::Measure;
use crate::load::report::Figures;
use crate::load::target::{Target, Work};
use crate::site::{Binaries, Profile, Site};

pub use pace::Pace;
pub(crate) use setup::stand_ins;
pub use usage::Usage;

/// The direct path and the host take turns so often, so that what else the
/// machine does hits both.
const TURNS: u32 = 4;
/// What is sent before anything is measured, to fill pools and caches.
const WARM_UP: Duration = Duration::from_secs(1);
/// How long hosts may take to find each other.
const SETTLE: Duration = Duration::from_secs(2);

/// The sub-command.
#[must_use]
pub fn command() -> Command {
    Command::new("load")
        .about("Measures what one host adds to a stand-in's own latency under open-loop load")
        .arg(
            Arg::new("json")
                .long("json")
                .help("Prints the figures as JSON only")
                .action(ArgAction::SetTrue),
        )
        .arg(
            Arg::new("rate")
                .long("rate")
                .help("Requests a second")
                .value_parser(value_parser!(u32).range(1..=50_000))
                .default_value("1000"),
        )
        .arg(
            Arg::new("tokens")
                .long("tokens")
                .help("Tokens a second over all streams")
                .value_parser(value_parser!(u32).range(100..=1_000_000))
                .default_value("100000"),
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .help("How long each kind of load runs on each target")
                .value_parser(value_parser!(u64).range(1..=600))
                .default_value("8"),
        )
}

/// Runs the measurement.
///
/// # Errors
/// When the site can't be brought up or nothing is answered.
pub fn run(matches: &ArgMatches) -> Result<ExitCode, Report<Error>> {
    let binaries = Binaries::build(Profile::Release)?;
    let figures = task::block_on(play(binaries, matches))?;
    if matches.get_flag("json") {
        println!("{}", figures.json());
    } else {
        figures.print();
    }
    Ok(ExitCode::SUCCESS)
}

async fn play(binaries: Binaries, matches: &ArgMatches) -> Result<Figures, Report<Error>> {
    let rate = value::<u32>(matches, "rate");
    let tokens = value::<u32>(matches, "tokens");
    let turn = Duration::from_secs(value(matches, "seconds")) / TURNS;
    let mut site = Site::start(binaries, &setup::stand_ins())?;
    // The second host gets no load: it holds copies of the billing records, as
    // a host in another data centre does for each host at work.
    site.add("entry-1", "dar-1").await?;
    site.add("entry-2", "dar-2").await?;
    site.alive().await?;
    setup::configure(&site.operator()).await?;
    site.ready().await?;
    task::sleep(SETTLE).await;
    let direct = Target::direct(&site);
    let host = Target::host(&site);
    for target in [&direct, &host] {
        for work in [Work::Whole, Work::Stream] {
            let mut warm_up = Measure::default();
            target.run(work, 50, WARM_UP / 2, &mut warm_up).await;
        }
    }
    let mut figures = Figures::new(rate, tokens);
    let streams = tokens / setup::WORDS;
    let usage = |idx: usize| Usage::of(site.entries[idx].process.id());
    for _ in 0..TURNS {
        target_turn(&direct, &mut figures.direct, rate, streams, turn).await;
        let (before, partner) = (usage(0)?, usage(1)?);
        host.run(Work::Whole, rate, turn, &mut figures.host.whole)
            .await;
        let between = usage(0)?;
        host.run(Work::Stream, streams, turn, &mut figures.host.stream)
            .await;
        let after = usage(0)?;
        figures.cpu_whole += between.since(&before);
        figures.cpu_stream += after.since(&between);
        figures.partner_cpu += usage(1)?.since(&partner);
        figures.peak_kib = after.peak_kib;
    }
    Ok(figures)
}

async fn target_turn(
    target: &Target,
    pair: &mut report::Pair,
    rate: u32,
    streams: u32,
    turn: Duration,
) {
    target.run(Work::Whole, rate, turn, &mut pair.whole).await;
    target
        .run(Work::Stream, streams, turn, &mut pair.stream)
        .await;
}

fn value<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> T {
    matches
        .get_one::<T>(name)
        .cloned()
        .expect("each argument has a default value")
}
