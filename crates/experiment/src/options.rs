use crate::Workload;

/// The seeds for tuning rules and constants.
pub const TUNING_SEEDS: [u64; 4] = [11, 12, 13, 14];

/// The seeds for reported figures. They differ from those for tuning.
pub const REPORT_SEEDS: [u64; 3] = [101, 102, 103];

/// The seeds of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Seeds {
    /// The seeds of [`TUNING_SEEDS`].
    Tuned,
    /// The seeds of [`REPORT_SEEDS`].
    #[default]
    Reported,
    /// A single seed.
    One(u64),
}

impl Seeds {
    pub(crate) fn list(self) -> Vec<u64> {
        match self {
            Self::Tuned => TUNING_SEEDS.to_vec(),
            Self::Reported => REPORT_SEEDS.to_vec(),
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
