//! What hosts saw of versions and of customers' demand.

use std::sync::Arc;
use std::time::Duration;

use kernel::{Customer, VersionId};
use serde::{Deserialize, Serialize};

use crate::Identity;

/// What was counted since the sender's last evidence.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Who sends it.
    pub from: Identity,
    /// How many hosts it speaks for, and where it goes next.
    pub reach: Reach,
    /// The counts.
    pub deltas: Vec<Delta>,
}

/// Which part of the pooling a frame of evidence is on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reach {
    /// One host's own counts, to be used by the receiver and passed to nobody.
    Direct,
    /// One host's own counts, to be added up by the relay of its data centre.
    Host,
    /// A data centre's counts, to be added up by the topic's first home, which
    /// also gives them back to all.
    DataCentre,
    /// The same for the topic's other homes, which give nothing back.
    Standby,
    /// All counts, to be passed on by the relay to the hosts of its data centre.
    Fleet,
    /// All counts, at their last stop.
    Final,
}

/// What counts are about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Topic {
    /// A version, for one request class.
    Version {
        /// The version.
        version: VersionId,
        /// The request class.
        class: Arc<str>,
    },
    /// A customer's demand.
    Customer(Customer),
}

/// Counts that add up, whoever adds them in whichever order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// What the counts are about.
    pub topic: Topic,
    /// Answers that came, or a customer's requests that were taken.
    pub ok: u32,
    /// Attempts that failed, or a customer's requests that were refused.
    pub errors: u32,
    /// Answers rated good.
    pub good: u32,
    /// Answers rated bad.
    pub bad: u32,
    /// The sum of the latencies of the answers that came.
    #[serde(with = "crate::millis")]
    pub latency: Duration,
    /// Tokens generated.
    pub tokens: u64,
}

impl Delta {
    /// Nothing counted yet.
    #[must_use]
    pub fn new(topic: Topic) -> Self {
        Self {
            topic,
            ok: 0,
            errors: 0,
            good: 0,
            bad: 0,
            latency: Duration::ZERO,
            tokens: 0,
        }
    }

    /// Whether it tells of something bad, which must not wait.
    #[must_use]
    pub fn is_urgent(&self) -> bool {
        self.errors > 0 || self.bad > 0
    }

    /// Adds the counts of `other`, which must be about the same topic.
    pub fn merge(&mut self, other: &Self) {
        self.ok = self.ok.saturating_add(other.ok);
        self.errors = self.errors.saturating_add(other.errors);
        self.good = self.good.saturating_add(other.good);
        self.bad = self.bad.saturating_add(other.bad);
        self.latency = self.latency.saturating_add(other.latency);
        self.tokens = self.tokens.saturating_add(other.tokens);
    }

    /// Takes away the counts of `other` as far as they are there.
    pub fn subtract(&mut self, other: &Self) {
        self.ok = self.ok.saturating_sub(other.ok);
        self.errors = self.errors.saturating_sub(other.errors);
        self.good = self.good.saturating_sub(other.good);
        self.bad = self.bad.saturating_sub(other.bad);
        self.latency = self.latency.saturating_sub(other.latency);
        self.tokens = self.tokens.saturating_sub(other.tokens);
    }

    /// Whether nothing was counted.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.ok == 0
            && self.errors == 0
            && self.good == 0
            && self.bad == 0
            && self.latency.is_zero()
            && self.tokens == 0
    }
}
