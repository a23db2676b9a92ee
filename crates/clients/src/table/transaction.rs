//! Transactions and the row versions they return.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::Version;
use crate::row::Key;

/// Condition for applying a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Condition {
    /// The row doesn't exist.
    Absent(Key),
    /// The row has this version.
    At(Key, Version),
}

/// Writes that are applied atomically if all conditions hold.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Transaction {
    conditions: Vec<WireCondition>,
    puts: Vec<WirePut>,
    deletes: Vec<String>,
}

#[derive(Clone, Debug, Serialize)]
struct WireCondition {
    key: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    absent: Option<bool>,
    #[serde(skip_serializing_if = "Option::is_none")]
    version: Option<Version>,
}

#[derive(Clone, Debug, Serialize)]
struct WirePut {
    key: String,
    value: Value,
}

impl Transaction {
    /// Adds a condition.
    #[must_use]
    pub fn when(mut self, condition: Condition) -> Self {
        self.conditions.push(match condition {
            Condition::Absent(key) => WireCondition {
                key: key.to_string(),
                absent: Some(true),
                version: None,
            },
            Condition::At(key, version) => WireCondition {
                key: key.to_string(),
                absent: None,
                version: Some(version),
            },
        });
        self
    }

    /// Adds a row to write.
    ///
    /// A value that can't be represented in JSON, such as a map whose keys aren't
    /// strings, is written as null.
    #[must_use]
    pub fn put<T: Serialize + ?Sized>(mut self, key: &Key, value: &T) -> Self {
        self.puts.push(WirePut {
            key: key.to_string(),
            value: serde_json::to_value(value).unwrap_or_default(),
        });
        self
    }

    /// Adds a row to delete.
    #[must_use]
    pub fn delete(mut self, key: &Key) -> Self {
        self.deletes.push(key.to_string());
        self
    }
}

/// Versions of the rows that a transaction wrote.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq)]
pub struct Versions {
    versions: BTreeMap<String, Version>,
}

impl Versions {
    /// Returns the version assigned to `key`, or `None` if the response has none for
    /// that row.
    #[must_use]
    pub fn get(&self, key: &Key) -> Option<Version> {
        self.versions.get(&key.to_string()).copied()
    }
}
