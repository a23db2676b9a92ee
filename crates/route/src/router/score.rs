//! The scores by which endpoints are compared.

/// The terms of an endpoint's score, in units of its utilization. The endpoint with the lowest sum
/// is chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Score {
    /// The endpoint's estimated utilization.
    pub utilization: f64,
    /// The prefill time of this host's requests there that have no response yet.
    pub pending_prefill: f64,
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
    /// Returns the sum of all terms.
    #[must_use]
    pub fn total(&self) -> f64 {
        self.utilization
            + self.pending_prefill
            + self.errors
            + self.random
            + self.remote
            + self.cold
            + self.fill
            + self.cache
    }
}
