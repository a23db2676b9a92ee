//! The programs that a site runs.

use std::env;
use std::path::PathBuf;
use std::process::{Command, Stdio};

use error_stack::{Report, ResultExt, ensure};
use serde_json::Value;

use crate::error::Error;

/// Which of Cargo's profiles to build.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Profile {
    /// Quick to build.
    Dev,
    /// As it ships.
    Release,
}

/// Where the built programs are.
#[derive(Clone, Debug)]
pub struct Binaries {
    /// `barleypin-fakes`.
    pub fakes: PathBuf,
    /// `barleypind`.
    pub daemon: PathBuf,
}

impl Binaries {
    /// Builds the programs; what Cargo says goes to the standard error stream.
    ///
    /// # Errors
    /// When the build fails.
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
        let said = String::from_utf8_lossy(&output.stdout);
        Ok(Self {
            fakes: executable(&said, "barleypin-fakes")?,
            daemon: executable(&said, "barleypind")?,
        })
    }
}

/// The path of a program, from Cargo's messages.
fn executable(said: &str, name: &str) -> Result<PathBuf, Report<Error>> {
    said.lines()
        .filter_map(|it| serde_json::from_str::<Value>(it).ok())
        .filter(|it| it["target"]["name"] == name)
        .find_map(|it| it["executable"].as_str().map(PathBuf::from))
        .ok_or_else(|| Report::new(Error::Build).attach(name.to_owned()))
}
