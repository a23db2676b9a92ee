//! An endpoint, as this host knows it.

use std::time::Duration;

use super::warmth::Warmth;
use crate::endpoint::{Entry, Load, State};
use crate::evacuation::Access;
use crate::health::Health;

/// An endpoint, as this host knows it.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// What the directory says of it.
    pub entry: Entry,
    /// Whether it said that it leaves, in an answer or before the store came back from an
    /// older copy. No listing undoes that: one that was read before, or shows the copy,
    /// has it as ready. Its next life is another endpoint.
    pub(crate) has_left: bool,
    /// Whether operators have emptied its data centre.
    pub(crate) access: Access,
    /// Whether it is cold.
    pub(crate) warmth: Warmth,
    /// Until when it wants nothing of this host, by its own word. However few others there
    /// are, it would only refuse.
    pub(crate) unwilling_until: Duration,
    /// Whether the directory still lists it.
    pub(crate) listed: Listed,
    /// Requests of this host that are under way there.
    pub(crate) flights: u32,
    /// The time that reading the prompts of those takes that haven't begun to answer.
    pub(crate) unread: Duration,
    /// The load that it told last, and the requests sent since.
    pub(crate) load: Option<(Duration, Load)>,
    pub(crate) sent_since_load: u32,
    pub(crate) health: Health,
}

/// Whether the directory lists an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Listed {
    Yes,
    /// Not since this time.
    Missing(Duration),
}

impl Endpoint {
    pub(super) fn new(entry: Entry, access: Access) -> Self {
        Self {
            entry,
            has_left: false,
            access,
            warmth: Warmth::default(),
            unwilling_until: Duration::ZERO,
            listed: Listed::Yes,
            flights: 0,
            unread: Duration::ZERO,
            load: None,
            sent_since_load: 0,
            health: Health::default(),
        }
    }

    /// Whether new work may be sent to it.
    #[must_use]
    pub fn takes_work(&self) -> bool {
        self.would_take_work() && self.access == Access::Open
    }

    /// Whether it takes new work, were its data centre in use.
    pub(super) fn would_take_work(&self) -> bool {
        self.listed == Listed::Yes && self.entry.state == State::Ready && !self.has_left
    }

    /// For how long this host may send it nothing yet: it wants nothing, or is cold.
    pub(crate) fn wait(&self, now: Duration) -> Duration {
        let unwilling = self.unwilling_until.saturating_sub(now);
        unwilling.max(self.warmth.wait(now))
    }

    pub(super) fn used(&self, now: Duration, usual: f64) -> f64 {
        /// How long a load report is believed. Requests last about as long.
        const BELIEVED: Duration = Duration::from_millis(1_500);
        let slots = f64::from(self.entry.slots.max(1));
        let own = f64::from(self.flights);
        let told = match self.load {
            Some((at, load)) if now.saturating_sub(at) < BELIEVED => {
                load.requests() + f64::from(self.sent_since_load)
            }
            _ => usual * slots,
        };
        own.max(told) / slots
    }
}
