//! The programs that a site runs.

use std::env;
use std::path::PathBuf;
use std::process::{Command, Stdio};

use error_stack::{Report, ResultExt, ensure};
use serde_json::Value;

use crate::error::Error;

/// The Cargo profile of a build.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Profile {
    /// The development profile, which builds faster.
    Dev,
    /// The release profile.
    Release,
}

/// The paths of the built programs.
#[derive(Clone, Debug)]
pub struct Binaries {
    /// `barleypin-fakes`.
    pub fakes: PathBuf,
    /// `barleypind`.
    pub daemon: PathBuf,
}

impl Binaries {
    /// Builds the programs. Cargo's diagnostics go to the standard error stream.
    ///
    /// # Errors
    /// [`Error::Build`] if the build fails.
    pub fn build(profile: Profile) -> Result<Self, Report<Error>> {
        let cargo = env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
        let mut command = Command::new(cargo);
        command
            .args(["build", "--quiet", "-p", "fakes", "-p", "barleypind"])
            .args(["--bins", "--message-format", "json-render-diagnostics"])
            .stderr(Stdio::inherit());
        if profile == Profile::Release {
            command.arg("--release");
        }
        let output = command.output().change_context(Error::Build)?;
        ensure!(output.status.success(), Error::Build);
        let messages = String::from_utf8_lossy(&output.stdout);
        Ok(Self {
            fakes: executable(&messages, "barleypin-fakes")?,
            daemon: executable(&messages, "barleypind")?,
        })
    }
}

/// Finds the path of a program in Cargo's JSON messages.
fn executable(messages: &str, name: &str) -> Result<PathBuf, Report<Error>> {
    messages
        .lines()
        .filter_map(|it| serde_json::from_str::<Value>(it).ok())
        .filter(|it| it["target"]["name"] == name)
        .find_map(|it| it["executable"].as_str().map(PathBuf::from))
        .ok_or_else(|| Report::new(Error::Build).attach(name.to_owned()))
}
