//! What a process used, from the kernel's own files.

use std::fs;
use std::time::Duration;

use error_stack::{Report, ResultExt};

use crate::error::Error;

/// Linux counts processor time in hundredths of a second towards programs.
const TICK: Duration = Duration::from_millis(10);
/// Where `utime` and `stime` stand behind the program's name in `stat`.
const UTIME: usize = 11;
const STIME: usize = 12;

/// Processor time and peak memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage {
    /// Processor time in user and kernel mode.
    pub cpu: Duration,
    /// The most memory that was resident at once, in KiB.
    pub peak_kib: u64,
}

impl Usage {
    /// Reads the files of a process.
    pub(crate) fn of(process: u32) -> Result<Self, Report<Error>> {
        let read = |name: &str| fs::read_to_string(format!("/proc/{process}/{name}"));
        let stat = read("stat").change_context(Error::Measure)?;
        let status = read("status").change_context(Error::Measure)?;
        Self::parse(&stat, &status).ok_or_else(|| Report::new(Error::Measure))
    }

    /// Reads the texts of `stat` and `status`.
    #[must_use]
    pub fn parse(stat: &str, status: &str) -> Option<Self> {
        // The program's name may contain spaces; it ends at the last bracket.
        let (_, rest) = stat.rsplit_once(')')?;
        let fields: Vec<_> = rest.split_whitespace().collect();
        let ticks = |idx: usize| fields.get(idx)?.parse::<u32>().ok();
        let peak = status.lines().find_map(|it| it.strip_prefix("VmHWM:"))?;
        Some(Self {
            cpu: TICK * (ticks(UTIME)? + ticks(STIME)?),
            peak_kib: peak.split_whitespace().next()?.parse().ok()?,
        })
    }

    /// The processor time since an earlier look.
    pub(crate) fn since(&self, earlier: &Self) -> Duration {
        self.cpu.saturating_sub(earlier.cpu)
    }
}
