use std::time::Duration;

/// A request class of a workload.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ClassIdx(pub(crate) u8);

impl ClassIdx {
    pub(crate) fn idx(self) -> usize {
        usize::from(self.0)
    }
}

/// What kind of requests a class has.
#[derive(Clone, Debug)]
pub(crate) struct Class {
    pub(crate) name: &'static str,
    pub(crate) call: Call,
    pub(crate) priority: Priority,
    /// A request that may run twice without harm.
    pub(crate) idempotent: bool,
    /// New requests or sessions a second, over all customers.
    pub(crate) rate: f64,
    /// From the arrival.
    pub(crate) deadline: Duration,
}

/// Where a class goes.
#[derive(Clone, Debug)]
pub(crate) enum Call {
    /// To the model pool, under a profile of the class's name.
    Model {
        /// The share of answers that must be good.
        target: f64,
        /// The share of requests that are hard.
        hard: f64,
        prompt: Range,
        completion: Range,
        /// The number of turns of a session, all of which prefer one version.
        turns: Range,
    },
    /// To the plain service.
    Plain { millis: Range },
}

/// Inclusive bounds of an even draw.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Range {
    pub(crate) low: u32,
    pub(crate) high: u32,
}

/// Who goes first at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Priority {
    Urgent,
    Interactive,
    Batch,
}

impl Class {
    /// Seconds between two turns of a session.
    pub(crate) const TURN_GAP: Range = Range { low: 60, high: 120 };

    pub(crate) fn is_model(&self) -> bool {
        matches!(self.call, Call::Model { .. })
    }

    /// The quality target; plain services have none.
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

    /// The value at `draw` of `0.0..1.0`, in equal parts.
    pub(crate) fn pick(self, draw: u32) -> u32 {
        self.low + draw % (self.high - self.low + 1)
    }

    pub(crate) fn mean(self) -> u32 {
        u32::midpoint(self.low, self.high)
    }
}
