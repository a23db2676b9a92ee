//! Validation errors of texts and changes.

use std::fmt;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::EntryName;

/// A validation error: its location, the value found there and the accepted values.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display("{place}: {}{found}{accepted}", Self::label(field))]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// The location of the fault.
    pub place: FaultLocation,
    /// The path of the key or field; empty for a syntax error.
    pub field: String,
    /// The value, or the lack of one, that was found there.
    pub found: FaultKind,
    /// The accepted values, or advice on how to correct the fault; the parser's
    /// message for a syntax error.
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

/// The location of a fault.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultLocation {
    /// A line of a file.
    #[display("{file}:{line}")]
    Line {
        /// The name of the file as given to the parser.
        file: String,
        /// The line number, from 1.
        line: usize,
    },
    /// An entry of the document.
    #[display("{_0}")]
    Entry(EntryName),
}

/// The kind of a fault, with the value found.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// A required value is missing.
    #[display("missing; expected ")]
    Missing,
    /// The value, or a description of it, isn't accepted.
    #[display("{_0} is not accepted; expected ")]
    Value(String),
    /// The key is unknown.
    #[display("unknown key; ")]
    UnknownKey,
    /// The text isn't valid TOML.
    #[display("not TOML; ")]
    Syntax,
    /// The value is valid, but a safety check rejects the change.
    #[display("refused; ")]
    Harmful,
}

/// All faults of a text, document or change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Faults(pub Vec<Fault>);

impl Faults {
    /// Returns whether there are no faults.
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
