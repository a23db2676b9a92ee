//! What is printed.

mod aim;
mod case;
mod figures;
mod table;

use serde::Serialize;

pub use aim::Aim;
pub use case::Case;
pub use figures::{ClassFigures, Figures, Latency, Quarantine, Served};

use crate::Options;

/// The figures of an experiment.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The seeds over which the figures are taken.
    pub seeds: Vec<u64>,
    /// Scenarios were shortened; the figures are good for tests only.
    pub quick: bool,
    /// The aims that the scenarios that were run can tell of.
    pub aims: Vec<Aim>,
    /// One for each workload and scenario.
    pub cases: Vec<Case>,
}

impl Report {
    pub(crate) fn new(options: &Options, cases: Vec<Case>) -> Self {
        Self {
            seeds: options.seeds.list(),
            quick: options.quick,
            aims: aim::aims(&cases),
            cases,
        }
    }

    /// The report as people read it.
    #[must_use]
    pub fn table(&self) -> String {
        table::report(self)
    }
}
