//! Command line of the entry host daemon. Starts the services and drains them on SIGTERM or
//! SIGINT.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

use async_signal::{Signal, Signals};
use barleypind::log::Log;
use barleypind::{Daemon, DrainOutcome, Error};
use clap::{Arg, Command, value_parser};
use config::Settings;
use error_stack::{Report, ResultExt};
use futures::StreamExt;
use kernel::SystemClock;

/// Exit code if the settings or keys can't be used, or the daemon can't start.
const EXIT_SETTINGS: u8 = 2;
/// Exit code if the drain reached its time limit with calls or records left.
const EXIT_DRAIN_LIMIT: u8 = 3;

fn main() -> ExitCode {
    let matches = command().get_matches();
    let result = match matches.subcommand() {
        Some(("check", matches)) => check(settings_path(matches)),
        _ => async_std::task::block_on(run(settings_path(&matches))),
    };
    match result {
        Ok(code) => code,
        Err(report) => {
            eprintln!("{}", describe(&report));
            ExitCode::from(EXIT_SETTINGS)
        }
    }
}

fn command() -> Command {
    let settings = Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .help("The host's settings, a TOML file")
        .value_parser(value_parser!(PathBuf))
        .required(true);
    Command::new("barleypind")
        .version(clap::crate_version!())
        .about("An entry host of barleypin: routes requests to models and plain services")
        .args_conflicts_with_subcommands(true)
        .subcommand_negates_reqs(true)
        .arg(settings.clone())
        .subcommand(
            Command::new("check")
                .about("Checks the settings and the key files, and starts nothing")
                .arg(settings),
        )
}

fn settings_path(matches: &clap::ArgMatches) -> &Path {
    matches
        .get_one::<PathBuf>("settings")
        .expect("clap requires --settings")
}

fn check(path: &Path) -> Result<ExitCode, Report<Error>> {
    let settings = read(path)?;
    barleypind::check_keys(&settings)?;
    println!("{}: no faults", path.display());
    Ok(ExitCode::SUCCESS)
}

async fn run(path: &Path) -> Result<ExitCode, Report<Error>> {
    let settings = read(path)?;
    let log = Log::to_stderr(settings.log);
    let mut signals = Signals::new([Signal::Term, Signal::Int]).change_context(Error::Signals)?;
    let daemon = Daemon::start(settings, log, Arc::new(SystemClock::new())).await?;
    let drain = async {
        while signals.next().await.is_some() {
            daemon.drain();
        }
    };
    let ended = daemon.ended();
    futures::pin_mut!(drain, ended);
    let ended = match futures::future::select(ended, drain).await {
        futures::future::Either::Left((ended, _)) => ended,
        futures::future::Either::Right(((), ended)) => ended.await,
    };
    Ok(match ended {
        DrainOutcome::Complete => ExitCode::SUCCESS,
        DrainOutcome::LimitReached => ExitCode::from(EXIT_DRAIN_LIMIT),
    })
}

fn read(path: &Path) -> Result<Settings, Report<Error>> {
    let text = fs::read_to_string(path).change_context_lazy(|| Error::Settings(path.to_owned()))?;
    Settings::parse(&text, &path.display().to_string())
        .map_err(|faults| Report::new(Error::Faults(faults)))
}

/// Formats the error, its causes and attachments, one per line, outermost first.
fn describe(report: &Report<Error>) -> String {
    let mut lines = vec![report.current_context().to_string()];
    for frame in report.frames() {
        if let error_stack::FrameKind::Context(context) = frame.kind() {
            let line = context.to_string();
            if !lines.contains(&line) {
                lines.push(format!("  because: {line}"));
            }
        } else if let error_stack::FrameKind::Attachment(error_stack::AttachmentKind::Printable(
            text,
        )) = frame.kind()
        {
            lines.push(format!("  {text}"));
        }
    }
    lines.join("\n")
}
