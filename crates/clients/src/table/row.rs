//! Rows as they are read.

use derive_more::{Display, From, Into};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// The version of a row. All rows take theirs from one counter that only rises.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    From,
    Into,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

/// A row as it was read.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Row {
    /// Its key, see [`crate::row::Key::parse`].
    pub key: String,
    /// Its version.
    pub version: Version,
    value: Value,
}

impl Row {
    /// The row's value as a `T`; nothing when it isn't one.
    #[must_use]
    pub fn value<T: DeserializeOwned>(&self) -> Option<T> {
        T::deserialize(&self.value).ok()
    }
}

/// One answer to a scan.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Page {
    /// Rows, sorted by key.
    pub rows: Vec<Row>,
    /// Whether there are rows after the last of these.
    pub more: bool,
}
