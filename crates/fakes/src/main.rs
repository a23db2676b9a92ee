//! Runs the stand-ins of a settings file in one process, for tests and demos.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use async_std::{future, task};
use clap::{Arg, Command, value_parser};
use error_stack::{Report, ResultExt};
use fakes::{RunningStandIns, Settings};
use kernel::SystemClock;

#[derive(Debug, derive_more::Display, derive_more::Error)]
enum Error {
    #[display("cannot read the settings file")]
    Read,
    #[display("invalid settings")]
    Settings,
    #[display("cannot bind the address of a stand-in")]
    Bind,
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let path: &PathBuf = matches
        .get_one("settings")
        .expect("clap requires --settings");
    match task::block_on(run(path)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}

fn command() -> Command {
    Command::new("barleypin-fakes")
        .about("Stand-ins for the platform, the engines and plain services")
        .version(clap::crate_version!())
        .arg(
            Arg::new("settings")
                .long("settings")
                .help("The TOML file that names the stand-ins to run")
                .value_parser(value_parser!(PathBuf))
                .required(true),
        )
}

async fn run(path: &PathBuf) -> Result<(), Report<Error>> {
    let text = std::fs::read_to_string(path).change_context(Error::Read)?;
    let settings = Settings::parse(&text).change_context(Error::Settings)?;
    let started = RunningStandIns::start(Arc::new(SystemClock::new()), settings)
        .await
        .change_context(Error::Bind)?;
    let addresses =
        serde_json::to_string(&started.addresses()).expect("names and addresses serialize");
    println!("ready {addresses}");
    future::pending::<()>().await;
    Ok(())
}
