//! What can go wrong with an engine, switched over `POST /control/faults`.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// All shares are between 0 and 1 and drawn for each attempt.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Faults {
    /// Each answer begins so much later.
    pub(crate) delay_ms: u64,
    /// This share fails with status 500 after the work was done.
    pub(crate) errors: f64,
    /// This share is cut after `cut_after` chunks.
    pub(crate) cut: f64,
    /// How many chunks come before a cut.
    pub(crate) cut_after: u64,
    /// This share sends its second chunk twice.
    pub(crate) duplicate: f64,
    /// This share sends its second and third chunk in the wrong order.
    pub(crate) reorder: f64,
    /// Work is refused with this code.
    pub(crate) refuse: Option<String>,
    /// For each version the share of answers that turn bad whatever its truth.
    pub(crate) bad: BTreeMap<String, f64>,
    /// Work is refused, and the load report says so.
    pub(crate) leaving: bool,
    /// The engine's life; work meant for another is refused.
    pub(crate) incarnation: u64,
}

impl Faults {
    pub(crate) fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            ..Self::default()
        }
    }
}
