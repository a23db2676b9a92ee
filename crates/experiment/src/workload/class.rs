use std::time::Duration;

/// The index of a request class in its workload.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ClassIdx(pub(crate) u8);

impl ClassIdx {
    pub(crate) fn idx(self) -> usize {
        usize::from(self.0)
    }
}

/// A request class.
#[derive(Clone, Debug)]
pub(crate) struct Class {
    pub(crate) name: &'static str,
    pub(crate) call: Call,
    pub(crate) priority: Priority,
    /// Whether a request may safely run more than once.
    pub(crate) idempotent: bool,
    /// New requests or sessions per second, over all customers.
    pub(crate) rate: f64,
    /// Counted from the arrival.
    pub(crate) deadline: Duration,
}

/// The destination of a class's requests, and their sizes.
#[derive(Clone, Debug)]
pub(crate) enum Call {
    /// Model requests, under a profile with the class's name.
    Model {
        /// The share of responses that must be good.
        target: f64,
        /// The share of requests that are hard.
        hard: f64,
        prompt: Range,
        completion: Range,
        /// The number of turns of a session. A class with at most one turn has no sessions.
        turns: Range,
    },
    /// Calls of the plain service, with their service time.
    Plain { millis: Range },
}

/// The inclusive bounds of a uniform distribution.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Range {
    pub(crate) low: u32,
    pub(crate) high: u32,
}

/// The priority of a request in an endpoint's queue, highest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Priority {
    Urgent,
    Interactive,
    Batch,
}

impl Class {
    /// The time between two turns of a session, in seconds.
    pub(crate) const TURN_GAP: Range = Range { low: 60, high: 120 };

    pub(crate) fn is_model(&self) -> bool {
        matches!(self.call, Call::Model { .. })
    }

    /// Returns the quality target; zero for plain services.
    pub(crate) fn target(&self) -> f64 {
        match self.call {
            Call::Model { target, .. } => target,
            Call::Plain { .. } => 0.0,
        }
    }
}

impl Range {
    pub(crate) const fn new(low: u32, high: u32) -> Self {
        Self { low, high }
    }

    /// Maps a random number to a value in the range.
    pub(crate) fn pick(self, draw: u32) -> u32 {
        self.low + draw % (self.high - self.low + 1)
    }

    pub(crate) fn mean(self) -> u32 {
        u32::midpoint(self.low, self.high)
    }
}
