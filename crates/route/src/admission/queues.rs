//! The queues of the endpoints that a request may be sent to.

use std::time::Duration;

use super::Queue;
use super::progress::Progress;

/// The queues of the endpoints that a request may be sent to; `None` where nothing is known.
#[derive(Clone, Debug)]
pub(crate) struct Queues {
    all: Vec<Option<Queue>>,
    is_short: bool,
}

impl Queues {
    pub(crate) fn new(all: Vec<Option<Queue>>) -> Self {
        let is_short = has_majority_waiting(&all);
        Self { all, is_short }
    }

    /// Returns whether capacity is short: requests wait at most of the endpoints.
    pub(super) fn are_short(&self) -> bool {
        self.is_short
    }

    /// Returns the shortest expected time until an endpoint starts a new request. Zero if it isn't
    /// known for one of them, or if there are no endpoints.
    pub(super) fn wait(&self, progress: Progress) -> Duration {
        let wait = |it: &Option<Queue>| it.map_or(Duration::ZERO, |it| it.wait(progress));
        self.all.iter().map(wait).min().unwrap_or_default()
    }
}

/// Returns whether requests wait at more than half of the endpoints.
///
/// A host has fresh reports of some endpoints only. They are taken as a random sample of all, so
/// more than half of them must show waiting requests: two standard deviations more. There is no
/// such margin if all endpoints are known. Endpoints without a report are no evidence either way.
fn has_majority_waiting(all: &[Option<Queue>]) -> bool {
    let known = count(all.iter().flatten().count());
    let waiting = count(all.iter().flatten().filter(|it| it.has_waiting()).count());
    let all = count(all.len());
    let unknown_fraction = (all - known) / (all - 1.0).max(1.0);
    let margin = (known * unknown_fraction).sqrt();
    waiting > known / 2.0 + margin
}

fn count(number: usize) -> f64 {
    u32::try_from(number).map_or(f64::from(u32::MAX), f64::from)
}
