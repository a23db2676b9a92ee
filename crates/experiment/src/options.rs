use crate::Workload;

/// The seeds that rules and constants may be tuned on.
pub const TUNED: [u64; 4] = [11, 12, 13, 14];

/// The seeds that are only ever reported, so that a figure is not one that
/// was tuned for.
pub const REPORTED: [u64; 3] = [101, 102, 103];

/// Which seeds a run uses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Seeds {
    /// [`TUNED`].
    Tuned,
    /// [`REPORTED`].
    #[default]
    Reported,
    /// A single seed.
    One(u64),
}

impl Seeds {
    pub(crate) fn list(self) -> Vec<u64> {
        match self {
            Self::Tuned => TUNED.to_vec(),
            Self::Reported => REPORTED.to_vec(),
            Self::One(seed) => vec![seed],
        }
    }
}

/// What to run; the default is every scenario of both workloads on the reported seeds.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// The seeds; figures are means over them.
    pub seeds: Seeds,
    /// Only the scenario of this name.
    pub scenario: Option<String>,
    /// Only this workload.
    pub workload: Option<Workload>,
    /// Few minutes, one seed and three hosts, for tests.
    pub quick: bool,
}
