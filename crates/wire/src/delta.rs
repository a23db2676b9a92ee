//! Changes of the counts of one topic.

use std::collections::BTreeSet;

use kernel::Incarnation;
use serde::{Deserialize, Serialize};

use crate::{Counts, Topic};

/// Number of failed endpoints from which on [`Delta::merge`] adds no more.
const MAX_FAILED_ENDPOINTS: usize = 4;

/// The counts of one topic since they were last sent. Hosts merge deltas; the order doesn't
/// affect the counts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// The topic.
    pub topic: Topic,
    /// Whether it reports a failure, which is sent with a shorter delay on the way to the
    /// homes, or directly to all hosts.
    pub is_urgent: bool,
    /// The counts.
    pub counts: Counts,
    /// Some of the endpoints that failed, so that one failing endpoint can be
    /// distinguished from a bad version.
    pub failed_endpoints: BTreeSet<FailedEndpoint>,
}

/// An endpoint that failed, and the incarnation of its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FailedEndpoint {
    /// A hash of the endpoint's host name.
    pub host: u64,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
}

impl Delta {
    /// Creates an empty delta.
    #[must_use]
    pub fn new(topic: Topic) -> Self {
        Self {
            topic,
            is_urgent: false,
            counts: Counts::default(),
            failed_endpoints: BTreeSet::new(),
        }
    }

    /// Adds `other`, which must have the same topic.
    pub fn merge(&mut self, other: &Self) {
        self.is_urgent |= other.is_urgent;
        self.counts.merge(&other.counts);
        for endpoint in &other.failed_endpoints {
            if self.failed_endpoints.len() < MAX_FAILED_ENDPOINTS {
                self.failed_endpoints.insert(*endpoint);
            }
        }
    }

    /// Subtracts the counts of `other`, each at most down to zero.
    pub fn subtract(&mut self, other: &Self) {
        self.counts.subtract(&other.counts);
    }

    /// Returns whether all counts are zero.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.counts.is_empty()
    }
}
