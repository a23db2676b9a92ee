//! Counters that add up.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Counters by number; the decision core gives each number its meaning. Those
/// at zero take no room.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Counts(BTreeMap<u8, u64>);

impl Counts {
    /// The counter's value.
    #[must_use]
    pub fn get(&self, counter: u8) -> u64 {
        self.0.get(&counter).copied().unwrap_or(0)
    }

    /// Adds to a counter.
    pub fn add(&mut self, counter: u8, value: u64) {
        if value > 0 {
            let sum = self.0.entry(counter).or_default();
            *sum = sum.saturating_add(value);
        }
    }

    /// Adds all of `other`.
    pub fn merge(&mut self, other: &Self) {
        for (counter, value) in &other.0 {
            self.add(*counter, *value);
        }
    }

    /// Takes away `other` as far as it is there.
    pub fn subtract(&mut self, other: &Self) {
        for (counter, value) in &mut self.0 {
            *value = value.saturating_sub(other.get(*counter));
        }
        self.0.retain(|_, value| *value > 0);
    }

    /// Whether all are zero.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.values().all(|it| *it == 0)
    }
}
