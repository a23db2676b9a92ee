//! The faults of an engine, set with `POST /control/faults`.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// The faults of an engine. Shares are drawn for each attempt; they are meant to be between 0 and
/// 1, which isn't checked.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Faults {
    /// Additional delay before each response begins.
    pub(crate) delay_ms: u64,
    /// The share of attempts that fail: with status 500 after the work, or, when streaming, by
    /// closing the connection before the first chunk.
    pub(crate) errors: f64,
    /// The share of responses whose connection is closed: before the chunk with index `cut_after`
    /// when streaming, without a response otherwise.
    pub(crate) cut: f64,
    /// The index of the chunk before which a stream is cut; a stream without that chunk isn't cut.
    pub(crate) cut_after: u64,
    /// The share of streams that send their second chunk twice.
    pub(crate) duplicate: f64,
    /// The share of streams that send their second and third chunk in the wrong order.
    pub(crate) reorder: f64,
    /// Refuses requests with this code.
    pub(crate) refuse: Option<String>,
    /// The share of responses, by version, that are made bad whatever the version's configured
    /// quality.
    pub(crate) bad: BTreeMap<String, f64>,
    /// Refuses requests and reports the state `leaving` in the load report.
    pub(crate) leaving: bool,
    /// The engine's incarnation; requests that name another one are refused.
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
