//! What is wrong with a text or a change.

use std::fmt;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::Name;

/// One fault: where it is, what was found there and what is accepted.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display("{place}: {}{found}{accepted}", Self::label(field))]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Where it is.
    pub place: Place,
    /// The key or field with its path; empty when it is the whole text.
    pub field: String,
    /// What was found there.
    pub found: Found,
    /// What is accepted instead, or how to get the change through.
    pub accepted: String,
}

impl Fault {
    fn label(field: &str) -> String {
        if field.is_empty() {
            String::new()
        } else {
            format!("{field}: ")
        }
    }
}

/// Where a fault is.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Place {
    /// In a line of a file, counted from one.
    #[display("{file}:{line}")]
    Line {
        /// The file as its reader named it.
        file: String,
        /// The line.
        line: usize,
    },
    /// In an entry of the document.
    #[display("{_0}")]
    Entry(Name),
}

/// What was found where something else is accepted.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Found {
    /// Nothing.
    #[display("missing; expected ")]
    Missing,
    /// This value.
    #[display("{_0} is not accepted; expected ")]
    Value(String),
    /// A key that isn't known.
    #[display("unknown key; ")]
    UnknownKey,
    /// Text that isn't TOML.
    #[display("not TOML; ")]
    Syntax,
    /// A value that is sound by itself, but would do harm.
    #[display("refused; ")]
    Harmful,
}

/// Every fault that was found.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Faults(pub Vec<Fault>);

impl Faults {
    /// Whether there is none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (idx, fault) in self.0.iter().enumerate() {
            if idx > 0 {
                writeln!(f)?;
            }
            write!(f, "{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}
