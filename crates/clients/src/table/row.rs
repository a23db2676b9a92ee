//! Rows read from the table.

use derive_more::{Display, From, Into};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Version of a row. All rows share one monotonic counter.
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

/// A row read from the table.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Row {
    /// Key of the row, see [`crate::row::Key::parse`].
    pub key: String,
    /// Version of the row.
    pub version: Version,
    value: Value,
}

impl Row {
    /// Deserializes the row's value; returns `None` if it isn't a valid `T`.
    #[must_use]
    pub fn value<T: DeserializeOwned>(&self) -> Option<T> {
        T::deserialize(&self.value).ok()
    }
}

/// A page of rows returned by a scan.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Page {
    /// Rows sorted by key.
    pub rows: Vec<Row>,
    /// Whether more rows follow this page.
    pub more: bool,
}
