//! The scores by which endpoints are compared.

use serde::{Deserialize, Serialize};

/// The terms of an endpoint's score, in units of its utilization. The endpoint with the lowest sum
/// is chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Score {
    /// The endpoint's estimated utilization.
    pub utilization: f64,
    /// The prefill time of this host's requests there that have no response yet.
    pub pending_prefill: f64,
    /// The request's own prefill time, as long as it takes at this endpoint. Zero under
    /// [`LoadPolicy::Standard`](crate::LoadPolicy::Standard).
    pub prefill: f64,
    /// The penalty for bad responses.
    pub errors: f64,
    /// The random term.
    pub random: f64,
    /// The penalty for another data centre.
    pub remote: f64,
    /// The penalty for a cold endpoint.
    pub cold: f64,
    /// The bonus, less than zero, of the endpoint that is being filled.
    pub fill: f64,
    /// The bonus, less than zero, of the endpoint that has the prompt cached.
    pub cache: f64,
}

impl Score {
    /// Returns the terms with their names.
    #[must_use]
    pub fn terms(&self) -> [(&'static str, f64); 9] {
        [
            ("utilization", self.utilization),
            ("pending_prefill", self.pending_prefill),
            ("prefill", self.prefill),
            ("errors", self.errors),
            ("random", self.random),
            ("remote", self.remote),
            ("cold", self.cold),
            ("fill", self.fill),
            ("cache", self.cache),
        ]
    }

    /// Returns the sum of all terms.
    #[must_use]
    pub fn total(&self) -> f64 {
        self.terms().iter().map(|it| it.1).sum()
    }
}
