//! Counters that are identified by a number.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Counters by number; the code that creates the deltas defines the meaning of each number.
/// `add` and `subtract` store no zeros; a decoded set may contain some.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Counts(BTreeMap<u8, u64>);

impl Counts {
    /// Returns the value of a counter, zero if it isn't stored.
    #[must_use]
    pub fn get(&self, counter: u8) -> u64 {
        self.0.get(&counter).copied().unwrap_or(0)
    }

    /// Adds to a counter, saturating.
    pub fn add(&mut self, counter: u8, value: u64) {
        if value > 0 {
            let sum = self.0.entry(counter).or_default();
            *sum = sum.saturating_add(value);
        }
    }

    /// Adds all counters of `other`, saturating.
    pub fn merge(&mut self, other: &Self) {
        for (counter, value) in &other.0 {
            self.add(*counter, *value);
        }
    }

    /// Subtracts the counters of `other`, each at most down to zero.
    pub fn subtract(&mut self, other: &Self) {
        for (counter, value) in &mut self.0 {
            *value = value.saturating_sub(other.get(*counter));
        }
        self.0.retain(|_, value| *value > 0);
    }

    /// Returns whether all counters are zero.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.values().all(|it| *it == 0)
    }
}
