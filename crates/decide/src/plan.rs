//! Plans: the sequence of versions that a request is sent to.

use crate::evidence::BUCKETS;
use crate::key;

/// The maximum number of steps of a plan.
pub(crate) const STEPS: usize = 3;

/// The versions that a request is sent to in turn, usually the cheapest first,
/// until a response is confident enough.
#[derive(Clone, Copy, Debug, PartialEq, Default)]
pub(crate) struct Plan {
    steps: [Step; STEPS],
    len: usize,
}

/// A version and the lowest confidence bucket in which its response is accepted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Step {
    pub(crate) version: key::Version,
    pub(crate) threshold: usize,
}

impl Step {
    /// Returns a step whose response is always accepted.
    pub(crate) fn last(version: key::Version) -> Self {
        Self {
            version,
            threshold: 0,
        }
    }

    /// Returns a step whose response never ends the plan, and is preferred for rating.
    pub(crate) fn probe(version: key::Version) -> Self {
        Self {
            version,
            threshold: BUCKETS,
        }
    }

    pub(crate) fn is_probe(self) -> bool {
        self.threshold >= BUCKETS
    }
}

impl Plan {
    /// Creates a plan from the first [`STEPS`] of `steps`.
    pub(crate) fn new(steps: &[Step]) -> Self {
        let mut it = Self::default();
        for step in steps.iter().take(STEPS) {
            it.steps[it.len] = *step;
            it.len += 1;
        }
        it
    }

    pub(crate) fn steps(&self) -> &[Step] {
        &self.steps[..self.len]
    }

    pub(crate) fn step(&self, at: usize) -> Option<Step> {
        self.steps().get(at).copied()
    }

    pub(crate) fn last(&self) -> Option<Step> {
        self.steps().last().copied()
    }

    /// Returns the plan with a probe before it. Drops the cheapest step if the
    /// plan is full.
    pub(crate) fn preceded_by_probe(&self, probe: key::Version) -> Self {
        let skip = self.len.saturating_sub(STEPS - 1);
        let mut steps = vec![Step::probe(probe)];
        steps.extend(self.steps().iter().skip(skip));
        Self::new(&steps)
    }

    /// Returns the plan with version `old` replaced by `new`.
    pub(crate) fn with_version_replaced(&self, old: key::Version, new: key::Version) -> Self {
        let mut it = *self;
        for step in &mut it.steps[..it.len] {
            if step.version == old {
                step.version = new;
            }
        }
        it
    }

    pub(crate) fn uses(&self, version: key::Version) -> bool {
        self.steps().iter().any(|it| it.version == version)
    }
}
