//! What comes when.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::workload::Kind;

/// One piece of work: a call, or a conversation of several.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// Its number, which also tells apart what is written in its prompts.
    pub number: u32,
    /// When its first call is due, from the start of the workload.
    pub at: Duration,
    /// What it is.
    pub kind: Kind,
}

/// All items, in the order in which they come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// The items.
    pub items: Vec<Item>,
}

impl Item {
    /// The customer on whose account it runs.
    #[must_use]
    pub fn customer(&self) -> &'static str {
        self.kind.customer(self.number)
    }

    /// The name of one of its calls, which is its idempotency key as well.
    #[must_use]
    pub fn call(&self, turn: usize) -> String {
        format!("c{}.{turn}", self.number)
    }
}

impl Plan {
    /// Draws items at a mean rate, at random times as independent callers have them.
    #[must_use]
    pub fn draw(seed: u64, per_second: f64, length: Duration) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut items = Vec::new();
        let mut at = Duration::ZERO;
        for number in 0.. {
            at += Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / per_second);
            if at >= length {
                break;
            }
            let kind = draw_kind(&mut rng);
            items.push(Item { number, at, kind });
        }
        Self { items }
    }
}

fn draw_kind(rng: &mut Pcg64Mcg) -> Kind {
    let total = Kind::ALL.iter().map(|it| it.weight()).sum();
    let mut left = rng.random_range(0..total);
    for kind in Kind::ALL {
        if left < kind.weight() {
            return kind;
        }
        left -= kind.weight();
    }
    unreachable!("the draw is below the sum of the weights")
}
