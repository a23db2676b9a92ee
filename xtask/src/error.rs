//! Errors of the developer tasks.

use derive_more::{Display, Error};

/// The reason why a task failed.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Error {
    /// Cargo could not build the programs that the task runs.
    #[display("the build failed")]
    Build,
    /// A process could not be started.
    #[display("a process could not be started")]
    Start,
    /// A process was not ready before the timeout.
    #[display("a process was not ready before the timeout")]
    NotReady,
    /// A file, certificate or address of the trial site could not be set up.
    #[display("the trial site could not be set up")]
    Site,
    /// A stand-in could not be reached or sent an unexpected response.
    #[display("a stand-in could not be reached or sent an unexpected response")]
    StandIn,
    /// A host did not accept a request of an operator.
    #[display("a host did not accept an operator's request")]
    Operator,
    /// A measurement failed or its input is invalid.
    #[display("the measurement failed or its input is invalid")]
    Measurement,
}
