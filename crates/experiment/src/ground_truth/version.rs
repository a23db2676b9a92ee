use std::time::Duration;

use kernel::Money;

use super::{Accuracy, ConfidenceDistribution};
use crate::workload::ClassIdx;

/// The index of a version. Both workloads have the same versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct VersionIdx(u8);

impl VersionIdx {
    pub(crate) const SMALL: Self = Self(0);
    pub(crate) const MEDIUM: Self = Self(1);
    pub(crate) const MEDIUM_NEXT: Self = Self(2);
    pub(crate) const LARGE: Self = Self(3);
    pub(crate) const ALL: [Self; 4] = [Self::SMALL, Self::MEDIUM, Self::MEDIUM_NEXT, Self::LARGE];

    pub(crate) fn name(self) -> &'static str {
        ["small@1", "medium@3", "medium@4", "large@2"][self.idx()]
    }

    pub(crate) fn named(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|it| it.name() == name)
    }

    pub(crate) fn idx(self) -> usize {
        usize::from(self.0)
    }
}

/// The prices, speed and quality of a version.
#[derive(Clone, Debug)]
pub(crate) struct VersionSpec {
    /// The price of a million prompt tokens.
    pub(crate) prompt_price: Money,
    /// The price of a million completion tokens.
    pub(crate) completion_price: Money,
    /// The prefill time of a thousand prompt tokens.
    pub(crate) prefill: Duration,
    /// The time between two tokens of a response.
    pub(crate) token: Duration,
    pub(crate) confidence: ConfidenceDistribution,
    /// Indexed by class. Only model classes have entries; they come before the classes of the
    /// plain service.
    pub(crate) accuracies: Vec<Accuracy>,
}

impl VersionSpec {
    pub(crate) fn accuracy(&self, class: ClassIdx) -> Accuracy {
        self.accuracies[class.idx()]
    }

    /// Returns the cost of a response.
    pub(crate) fn cost(&self, prompt: u32, completion: u32) -> Money {
        self.prompt_price.per_million(u64::from(prompt))
            + self.completion_price.per_million(u64::from(completion))
    }
}
