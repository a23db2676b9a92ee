use crate::ground_truth::VersionIdx;

/// A group of equal replicas.
#[derive(Clone, Debug)]
pub(crate) struct Pool {
    pub(crate) name: &'static str,
    pub(crate) replicas: usize,
    /// Maximum requests that a replica runs at once.
    pub(crate) slots: usize,
    /// Maximum requests that wait at a replica; further ones are refused.
    pub(crate) max_waiting: usize,
    /// The versions that the replicas serve; empty for a plain service.
    pub(crate) versions: Vec<VersionIdx>,
}
