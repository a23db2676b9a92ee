//! What has been seen of one class.

use std::time::Duration;

use crate::key;
use crate::meter::{Mean, Meter};

/// Requests of a class after which old ones count half.
const TURN_MEMORY: f64 = 2000.0;
/// How far back a class's spending is looked at.
const SPENDING_MEMORY: Duration = Duration::from_mins(5);

/// What has been seen of one class.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Class {
    pub(crate) key: key::Class,
    pub(crate) prompt: Mean,
    pub(crate) age: Age,
    /// Requests without and with a version, as far as they are remembered.
    pub(crate) free: f64,
    pub(crate) pinned: f64,
    pub(crate) completion: Mean,
    /// Microcents a second.
    pub(crate) spending: Meter,
}

/// Since when a class is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Age {
    Unseen,
    /// This host's or another's first request came then.
    Since(Duration),
    /// Another host told of its long past.
    Told,
}

impl Class {
    pub(crate) fn new(key: key::Class) -> Self {
        Self {
            key,
            prompt: Mean::default(),
            age: Age::Unseen,
            free: 0.0,
            pinned: 0.0,
            completion: Mean::default(),
            spending: Meter::new(SPENDING_MEMORY),
        }
    }

    /// Requests of the class came, here or elsewhere, with and without a version.
    pub(crate) fn turned(&mut self, now: Duration, free: u32, pinned: u32) {
        let it = self;
        if it.age == Age::Unseen {
            it.age = Age::Since(now);
        }
        it.free += f64::from(free);
        it.pinned += f64::from(pinned);
        if it.free + it.pinned > TURN_MEMORY {
            it.free /= 2.0;
            it.pinned /= 2.0;
        }
    }

    /// Another host tells of the class's past.
    pub(crate) fn told(&mut self, free: u32, pinned: u32) {
        let it = self;
        it.age = Age::Told;
        it.free += f64::from(free);
        it.pinned += f64::from(pinned);
    }

    /// The share of the class's requests that come in a session with a version.
    /// A new class is taken for a conversation until its second turns have had
    /// time to come.
    pub(crate) fn pinned(&self, now: Duration) -> f64 {
        const UNKNOWN: f64 = 0.7;
        const ENOUGH: f64 = 20.0;
        const LONG: Duration = Duration::from_secs(100);
        let it = self;
        let seen = it.free + it.pinned;
        let young = match it.age {
            Age::Unseen => true,
            Age::Since(first) => now.saturating_sub(first) < LONG,
            Age::Told => false,
        };
        if young || seen < ENOUGH {
            return UNKNOWN;
        }
        it.pinned / seen
    }
}
