//! Requests that endpoints have lately outlived.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::Print;

/// How long an answer speaks for a request. Longer than the moment in which many endpoints
/// end at once, and than the time between two reads that many callers send alike.
const SPEAKS: Duration = Duration::from_secs(30);
/// The most requests that are remembered; of more, the latest.
const MOST: usize = 4_096;

/// Requests that endpoints have lately outlived.
#[derive(Clone, Debug, Default)]
pub(super) struct Proven {
    latest: HashMap<Print, Duration>,
    order: VecDeque<(Duration, Print)>,
}

impl Proven {
    /// Takes that an endpoint has outlived a request.
    pub(super) fn prove(&mut self, now: Duration, print: Print) {
        if self.order.len() == MOST
            && let Some((at, oldest)) = self.order.pop_front()
            && self.latest.get(&oldest) == Some(&at)
        {
            self.latest.remove(&oldest);
        }
        self.latest.insert(print, now);
        self.order.push_back((now, print));
    }

    /// Whether one has, lately.
    pub(super) fn contains(&self, now: Duration, print: Print) -> bool {
        let at = self.latest.get(&print);
        at.is_some_and(|it| now.saturating_sub(*it) <= SPEAKS)
    }
}
