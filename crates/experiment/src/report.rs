//! The report of an experiment.

mod aim;
mod case;
mod figures;
mod table;

use serde::Serialize;

pub use aim::Aim;
pub use case::Case;
pub use figures::{ClassFigures, CustomerFigures, Figures, Latency, Quarantine};

use crate::Options;

/// The figures of an experiment.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The seeds that were run.
    pub seeds: Vec<u64>,
    /// Whether the scenarios were shortened. Such figures are for tests only.
    pub quick: bool,
    /// The aims that the scenarios of this run measure.
    pub aims: Vec<Aim>,
    /// The results for each workload and scenario.
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

    /// Returns the report as text tables.
    #[must_use]
    pub fn table(&self) -> String {
        table::report(self)
    }
}
