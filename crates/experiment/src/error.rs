use std::fmt;

/// An error in the options of an experiment or in a scenario.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// No scenario has this name. The second field lists the existing names.
    UnknownScenario(String, Vec<String>),
    /// No workload has this name.
    UnknownWorkload(String),
    /// A line of a scenario is invalid.
    Scenario {
        /// The scenario's name.
        name: String,
        /// The line number, counted from one.
        line: usize,
        /// A description of the error, with the accepted syntax.
        detail: String,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownScenario(name, known) => {
                write!(
                    f,
                    "no scenario is called {name:?}; known: {}",
                    known.join(", ")
                )
            }
            Self::UnknownWorkload(name) => {
                write!(
                    f,
                    "no workload is called {name:?}; known: kivuli, association"
                )
            }
            Self::Scenario { name, line, detail } => {
                write!(f, "scenario {name}, line {line}: {detail}")
            }
        }
    }
}

impl std::error::Error for Error {}
