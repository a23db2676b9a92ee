//! The steps by which a request is answered.

use crate::evidence::BUCKETS;
use crate::key;

/// The most steps that a plan has.
pub(crate) const STEPS: usize = 3;

/// The steps by which a request is answered, the cheapest first.
#[derive(Clone, Copy, Debug, PartialEq, Default)]
pub(crate) struct Plan {
    steps: [Step; STEPS],
    len: usize,
}

/// One step: a version, and the confidence bucket from which its answer is taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Step {
    pub(crate) version: key::Version,
    pub(crate) threshold: usize,
}

impl Step {
    /// A step whose answer is always taken.
    pub(crate) fn last(version: key::Version) -> Self {
        Self {
            version,
            threshold: 0,
        }
    }

    /// A step whose answer is rated and never taken.
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
    /// A plan of the first [`STEPS`] of `steps`.
    pub(crate) fn of(steps: &[Step]) -> Self {
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

    /// The same plan after a probe. Where there is no room the cheapest step goes.
    pub(crate) fn after(&self, probe: key::Version) -> Self {
        let skip = self.len.saturating_sub(STEPS - 1);
        let mut steps = vec![Step::probe(probe)];
        steps.extend(self.steps().iter().skip(skip));
        Self::of(&steps)
    }

    /// The same plan with one version in the place of another.
    pub(crate) fn replaced(&self, old: key::Version, new: key::Version) -> Self {
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
