//! Child processes of a task.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use error_stack::{Report, ResultExt};

use crate::error::Error;

/// Interval between two checks whether a process has exited.
const EXIT_POLL: Duration = Duration::from_millis(20);

/// A child process that is killed when this value is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a program with a settings file. Its standard error stream goes to `log`.
    ///
    /// # Errors
    /// [`Error::Start`] if the program can't be started.
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

    /// Returns the process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Waits for a line that starts with `ready ` and returns the rest of the line.
    ///
    /// # Errors
    /// [`Error::NotReady`] if the process exits or closes its output, or the output can't be read,
    /// before such a line.
    pub fn wait_for_ready_line(&mut self) -> Result<String, Report<Error>> {
        let stdout = self.child.stdout.as_mut().ok_or(Error::NotReady)?;
        for line in BufReader::new(stdout).lines() {
            let line = line.change_context(Error::NotReady)?;
            if let Some(rest) = line.strip_prefix("ready ") {
                return Ok(rest.to_owned());
            }
        }
        Err(Report::new(Error::NotReady))
    }

    /// Kills the process without a shutdown, as in a power failure, and waits for its exit.
    pub fn kill(&mut self) {
        // Succeeds also if the process has already exited. Other errors are ignored.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits for the process to exit. Returns whether it did so before the timeout.
    #[must_use]
    pub fn exits_within(&mut self, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        while self.is_running() {
            if Instant::now() >= deadline {
                return false;
            }
            thread::sleep(EXIT_POLL);
        }
        true
    }

    /// Returns whether the process runs.
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
