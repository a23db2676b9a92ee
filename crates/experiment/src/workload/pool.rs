use crate::truth::VersionIdx;

/// Replicas of one kind.
#[derive(Clone, Debug)]
pub(crate) struct Pool {
    pub(crate) name: &'static str,
    pub(crate) replicas: usize,
    /// Requests that a replica runs at once.
    pub(crate) slots: usize,
    /// Requests that wait at a replica before it refuses more.
    pub(crate) waiting: usize,
    /// What it serves; none for a plain service.
    pub(crate) versions: Vec<VersionIdx>,
}
