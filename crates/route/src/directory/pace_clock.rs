//! The progress of work at an endpoint whose machine reports its pace.

use std::time::Duration;

use crate::Pace;

/// The time for which a reported pace is used. It changes many times a second, and machines are
/// slow for some hundreds of milliseconds at a time.
const PACE_TTL: Duration = Duration::from_millis(400);

/// A clock that runs as work progresses at an endpoint: slower than time while its machine is
/// reported to be slower than usual.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PaceClock {
    /// The seconds by which it was ahead of time at the latest report.
    lead: f64,
    /// The latest report with the time of its arrival.
    report: Option<(Duration, Pace)>,
}

impl PaceClock {
    /// Records the pace that a load report states, or that it states none.
    pub(super) fn record(&mut self, now: Duration, pace: Option<Pace>) {
        self.lead = self.lead(now);
        self.report = pace.map(|it| (now, it));
    }

    /// Returns the seconds that the work done until `now` takes at the usual pace, from an
    /// arbitrary start.
    pub(crate) fn seconds(&self, now: Duration) -> f64 {
        now.as_secs_f64() + self.lead(now)
    }

    /// Returns the reported pace while the report is fresh.
    pub(super) fn pace(&self, now: Duration) -> Option<Pace> {
        let (at, pace) = self.report?;
        (now.saturating_sub(at) < PACE_TTL).then_some(pace)
    }

    fn lead(&self, now: Duration) -> f64 {
        let Some((at, pace)) = self.report else {
            return self.lead;
        };
        let applied = now.saturating_sub(at).min(PACE_TTL);
        self.lead + applied.as_secs_f64() * (1.0 / pace.factor() - 1.0)
    }
}
