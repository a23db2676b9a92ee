//! Counts about one topic.

use std::collections::BTreeSet;

use kernel::Incarnation;
use serde::{Deserialize, Serialize};

use crate::{Counts, Topic};

/// How many marks a delta keeps.
const MAX_MARKS: usize = 4;

/// What was counted about one topic. Deltas add up, whoever adds them in
/// whichever order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// What the counts are about.
    pub topic: Topic,
    /// Whether it tells of something bad, which must not wait.
    pub is_urgent: bool,
    /// The counts.
    pub counts: Counts,
    /// Some of the endpoints where something bad happened, so that one broken
    /// endpoint isn't taken for a broken version.
    pub marks: BTreeSet<Mark>,
}

/// One life of an endpoint, its host by a hash of the name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Mark {
    /// The hash of the host's name.
    pub host: u64,
    /// Which life of its process.
    pub incarnation: Incarnation,
}

impl Delta {
    /// Nothing counted yet.
    #[must_use]
    pub fn new(topic: Topic) -> Self {
        Self {
            topic,
            is_urgent: false,
            counts: Counts::default(),
            marks: BTreeSet::new(),
        }
    }

    /// Adds `other`, which must be about the same topic.
    pub fn merge(&mut self, other: &Self) {
        self.is_urgent |= other.is_urgent;
        self.counts.merge(&other.counts);
        for mark in &other.marks {
            if self.marks.len() < MAX_MARKS {
                self.marks.insert(*mark);
            }
        }
    }

    /// Takes away the counts of `other` as far as they are there.
    pub fn subtract(&mut self, other: &Self) {
        self.counts.subtract(&other.counts);
    }

    /// Whether nothing was counted.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.counts.is_empty()
    }
}
