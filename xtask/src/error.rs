//! What can go wrong with a chore.

use derive_more::{Display, Error};

/// Why a chore failed.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Error {
    /// Cargo could not build what the chore runs.
    #[display("the build failed")]
    Build,
    /// A process could not be started.
    #[display("a process could not be started")]
    Start,
    /// A process was not ready in time.
    #[display("a process was not ready in time")]
    NotReady,
    /// A file of the trial site could not be written.
    #[display("a file of the trial site could not be written")]
    Site,
    /// A stand-in did not answer as agreed.
    #[display("a stand-in did not answer as agreed")]
    StandIn,
    /// An operator's change was not accepted.
    #[display("an operator's change was not accepted")]
    Operator,
    /// The chore's figures can't be had.
    #[display("the figures can't be had")]
    Measure,
}
