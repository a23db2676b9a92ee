use crate::Workload;

/// The seeds for tuning rules and constants.
pub const TUNED: [u64; 4] = [11, 12, 13, 14];

/// The seeds for reported figures. They differ from those for tuning.
pub const REPORTED: [u64; 3] = [101, 102, 103];

/// The seeds of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Seeds {
    /// The seeds of [`TUNED`].
    Tuned,
    /// The seeds of [`REPORTED`].
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

/// Options of a run. The default is every scenario of both workloads with the reported seeds.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// The seeds to run. The figures aggregate all of them.
    pub seeds: Seeds,
    /// If given, runs only the scenario with this name.
    pub scenario: Option<String>,
    /// If given, runs only this workload.
    pub workload: Option<Workload>,
    /// Shortens the scenarios and uses three hosts, for tests.
    pub quick: bool,
}
