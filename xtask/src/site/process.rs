//! A process of a chore.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use error_stack::{Report, ResultExt};

use crate::error::Error;

const END_POLL: Duration = Duration::from_millis(20);

/// A process that ends with this value, by its own handle.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a program on a settings file; what it says goes to its log.
    ///
    /// # Errors
    /// When it can't be started.
    pub fn start(program: &Path, settings: &Path, log: File) -> Result<Self, Report<Error>> {
        let mut command = Command::new(program);
        let child = command
            .arg("--settings")
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .change_context(Error::Start)
            .attach_with(|| program.display().to_string())?;
        Ok(Self { child })
    }

    /// The process's id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Waits for the line with which the process says that it is ready, and
    /// gives what follows the word.
    ///
    /// # Errors
    /// When the process ends before.
    pub fn ready_line(&mut self) -> Result<String, Report<Error>> {
        let stdout = self.child.stdout.as_mut().ok_or(Error::NotReady)?;
        for line in BufReader::new(stdout).lines() {
            let line = line.change_context(Error::NotReady)?;
            if let Some(rest) = line.strip_prefix("ready ") {
                return Ok(rest.to_owned());
            }
        }
        Err(Report::new(Error::NotReady))
    }

    /// Kills the process at once, as a host that loses its power.
    pub fn kill(&mut self) {
        // It fails only when the process has ended, which is what is wanted.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits for the process to end by itself.
    #[must_use]
    pub fn ends_within(&mut self, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        while self.is_running() {
            if Instant::now() >= deadline {
                return false;
            }
            thread::sleep(END_POLL);
        }
        true
    }

    /// Whether the process runs.
    #[must_use]
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
