use std::fmt;

/// Why an experiment could not be run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// No scenario has this name; the second field lists the ones that exist.
    UnknownScenario(String, Vec<String>),
    /// No workload has this name.
    UnknownWorkload(String),
    /// A line of a scenario isn't understood.
    Scenario {
        /// The scenario's name.
        name: String,
        /// Its line, counted from one.
        line: usize,
        /// What is wrong and what is accepted.
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
