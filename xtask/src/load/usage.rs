//! Resource usage of a process, from `/proc`.

use std::fs;
use std::time::Duration;

use error_stack::{Report, ResultExt};

use crate::error::Error;

/// Unit of processor times in `/proc`.
const TICK: Duration = Duration::from_millis(10);
/// Index of `utime` in the fields of `stat` after the program's name.
const UTIME: usize = 11;
/// Index of `stime` in the same fields.
const STIME: usize = 12;

/// Processor time and peak memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage {
    /// Processor time in user and kernel mode.
    pub cpu: Duration,
    /// Peak resident memory in KiB.
    pub peak_kib: u64,
}

impl Usage {
    /// Reads the usage of a process from `/proc`.
    pub(crate) fn of(process: u32) -> Result<Self, Report<Error>> {
        let read = |name: &str| fs::read_to_string(format!("/proc/{process}/{name}"));
        let stat = read("stat").change_context(Error::Measurement)?;
        let status = read("status").change_context(Error::Measurement)?;
        Self::parse(&stat, &status).ok_or_else(|| Report::new(Error::Measurement))
    }

    /// Parses the contents of `stat` and `status`.
    #[must_use]
    pub fn parse(stat: &str, status: &str) -> Option<Self> {
        // The program's name may contain spaces and parentheses; it ends at the last parenthesis.
        let (_, rest) = stat.rsplit_once(')')?;
        let fields: Vec<_> = rest.split_whitespace().collect();
        let ticks = |idx: usize| fields.get(idx)?.parse::<u32>().ok();
        let peak = status.lines().find_map(|it| it.strip_prefix("VmHWM:"))?;
        Some(Self {
            cpu: TICK * (ticks(UTIME)? + ticks(STIME)?),
            peak_kib: peak.split_whitespace().next()?.parse().ok()?,
        })
    }

    /// Returns the processor time since an earlier measurement.
    pub(crate) fn since(&self, earlier: &Self) -> Duration {
        self.cpu.saturating_sub(earlier.cpu)
    }
}
