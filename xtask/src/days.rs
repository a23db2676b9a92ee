//! `cargo xtask days`: replays the days under `deploy/days/`. Each day has one kind of
//! failure or a pair of them.
//!
//! The replays run in the users' bench, a program outside this workspace.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command as Process, ExitCode, Stdio};
use std::sync::Mutex;
use std::thread;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use error_stack::{Report, ResultExt};

use crate::error::Error;

/// Folder of the days. The task must run in the root of the repository.
const DAYS_DIR: &str = "deploy/days";

/// Returns the definition of the subcommand.
#[must_use]
pub fn command() -> Command {
    Command::new("days")
        .about("Replays the days under deploy/days/ with the users' bench, if it is installed")
        .arg(
            Arg::new("bench")
                .long("bench")
                .value_name("PROGRAM")
                .help("Program of the users' bench; without it nothing is replayed")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("jobs")
                .long("jobs")
                .value_name("N")
                .help("Number of days replayed in parallel")
                .value_parser(value_parser!(usize))
                .default_value("4"),
        )
        .arg(
            Arg::new("site")
                .value_name("SITE")
                .help("Site files on which the days are replayed")
                .value_parser(value_parser!(PathBuf))
                .action(ArgAction::Append)
                .num_args(0..),
        )
}

/// Replays each day on each site and prints its worth or the rules that it broke.
///
/// The exit code is a failure if a day broke a rule or was not replayed. Without the bench or a
/// site, nothing is replayed and the exit code is a success.
///
/// # Errors
/// [`Error::Measurement`] if a site is given and the folder of the days can't be read.
pub fn run(matches: &ArgMatches) -> Result<ExitCode, Report<Error>> {
    let bench = matches.get_one::<PathBuf>("bench");
    let Some(bench) = bench.filter(|it| it.exists()) else {
        println!("skipped: no days were replayed, because --bench names no existing program");
        return Ok(ExitCode::SUCCESS);
    };
    let jobs = *matches.get_one::<usize>("jobs").unwrap_or(&1);
    let mut replays = Vec::new();
    for site in matches.get_many::<PathBuf>("site").unwrap_or_default() {
        replays.extend(days()?.into_iter().map(|day| (site.clone(), day)));
    }
    let queue = Mutex::new(replays.into_iter());
    let failed = Mutex::new(0);
    thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            scope.spawn(|| {
                loop {
                    let next = queue
                        .lock()
                        .expect("no thread panics while it holds the lock")
                        .next();
                    let Some((site, day)) = next else { break };
                    let line = replay(bench, &site, &day);
                    if line.contains("BROKEN") || line.contains("not replayed") {
                        *failed
                            .lock()
                            .expect("no thread panics while it holds the lock") += 1;
                    }
                    println!("{line}");
                }
            });
        }
    });
    let failed = failed
        .into_inner()
        .expect("no thread panicked while it held the lock");
    println!("{failed} days broke a rule or were not replayed");
    Ok(if failed == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn days() -> Result<Vec<PathBuf>, Report<Error>> {
    let entries = fs::read_dir(DAYS_DIR).change_context(Error::Measurement)?;
    let mut days: Vec<PathBuf> = entries.flatten().map(|it| it.path()).collect();
    days.sort();
    Ok(days)
}

/// Replays a day and returns a line with the site, the day, and its worth, the broken rules, or
/// that it was not replayed.
fn replay(bench: &Path, site: &Path, day: &Path) -> String {
    let name = |it: &Path| it.file_stem().unwrap_or_default().display().to_string();
    let title = format!("{} {}", name(site), name(day));
    let result = Process::new(bench)
        .arg("run")
        .args([site, day])
        .args(["--no-cpu", "--why", "a day of our own, replayed"])
        .stdin(Stdio::null())
        .output();
    let Ok(output) = result else {
        return format!("{title}: not replayed");
    };
    let text = String::from_utf8_lossy(&output.stdout);
    let find = |start: &str| text.lines().find(|it| it.starts_with(start));
    match (find("worth "), find("rules broken")) {
        (Some(worth), None) => {
            let worth = worth.split(" = ").next().unwrap_or_default();
            format!("{title}: {worth}")
        }
        (_, Some(rules)) => format!("{title}: BROKEN {rules}"),
        (None, None) => format!("{title}: not replayed"),
    }
}
