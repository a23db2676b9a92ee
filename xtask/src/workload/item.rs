//! The schedule of a workload.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::workload::Kind;

/// A work item: one call, or a conversation of several calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// The number of the item, which is part of its prompts.
    pub number: u32,
    /// The start of the first call, counted from the start of the workload.
    pub at: Duration,
    /// The kind of work.
    pub kind: Kind,
}

/// The items of a workload, ordered by start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// The items.
    pub items: Vec<Item>,
}

impl Item {
    /// Returns the customer who is billed.
    #[must_use]
    pub fn customer(&self) -> &'static str {
        self.kind.customer(self.number)
    }

    /// Returns the name of the call of a turn, also its idempotency key.
    #[must_use]
    pub fn call(&self, turn: usize) -> String {
        format!("c{}.{turn}", self.number)
    }
}

impl Schedule {
    /// Generates items with Poisson arrivals at a mean rate of `per_second`.
    #[must_use]
    pub fn generate(seed: u64, per_second: f64, length: Duration) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut items = Vec::new();
        let mut at = Duration::ZERO;
        for number in 0.. {
            at += Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / per_second);
            if at >= length {
                break;
            }
            let kind = random_kind(&mut rng);
            items.push(Item { number, at, kind });
        }
        Self { items }
    }
}

fn random_kind(rng: &mut Pcg64Mcg) -> Kind {
    let total = Kind::ALL.iter().map(|it| it.weight()).sum();
    let mut left = rng.random_range(0..total);
    for kind in Kind::ALL {
        if left < kind.weight() {
            return kind;
        }
        left -= kind.weight();
    }
    unreachable!("the drawn number is below the sum of the weights")
}
