//! The rows of the table and its transactions.

use std::collections::BTreeMap;
use std::ops::Bound;

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// All rows, and the counter from which their versions are assigned.
#[derive(Debug, Default)]
pub(crate) struct Rows {
    rows: BTreeMap<String, StoredRow>,
    last_version: u64,
}

/// Writes that are applied when all conditions hold.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Transaction {
    #[serde(default)]
    conditions: Vec<Condition>,
    #[serde(default)]
    puts: Vec<Put>,
    #[serde(default)]
    deletes: Vec<String>,
}

/// A row in a response.
#[derive(Debug, Serialize)]
pub(crate) struct Row<'a> {
    key: &'a str,
    version: u64,
    value: &'a Value,
}

/// A condition that did not hold, with the row's actual version.
#[derive(Debug, Serialize)]
pub(crate) struct FailedCondition {
    key: String,
    version: Option<u64>,
}

#[derive(Debug)]
struct StoredRow {
    version: u64,
    value: Value,
}

/// A condition on a row: its exact version, or its absence. A condition with neither is rejected,
/// so that a condition without a version isn't taken for one that the row is absent.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Condition {
    Version { key: String, version: u64 },
    Absent { key: String, absent: True },
}

/// A boolean that must be `true`: `absent: false` is not a condition on a row.
#[derive(Debug, Deserialize)]
#[serde(try_from = "bool")]
struct True;

impl TryFrom<bool> for True {
    type Error = &'static str;

    fn try_from(value: bool) -> Result<Self, Self::Error> {
        value.then_some(Self).ok_or("`absent` takes only `true`")
    }
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Put {
    key: String,
    value: Value,
}

impl Rows {
    /// Applies all writes and returns the new versions, or applies none and returns the conditions
    /// that failed.
    pub(crate) fn transact(
        &mut self,
        transaction: Transaction,
    ) -> Result<BTreeMap<String, u64>, Vec<FailedCondition>> {
        let failed: Vec<_> = transaction
            .conditions
            .into_iter()
            .filter_map(|it| self.check(it))
            .collect();
        if !failed.is_empty() {
            return Err(failed);
        }
        for key in &transaction.deletes {
            self.rows.remove(key);
        }
        let mut versions = BTreeMap::new();
        for Put { key, value } in transaction.puts {
            self.last_version += 1;
            let version = self.last_version;
            versions.insert(key.clone(), version);
            self.rows.insert(key, StoredRow { version, value });
        }
        Ok(versions)
    }

    pub(crate) fn get(&self, key: &str) -> Option<Row<'_>> {
        let (key, stored) = self.rows.get_key_value(key)?;
        Some(row(key, stored))
    }

    /// Returns up to `limit` rows whose keys start with `prefix` and sort after `after`, and
    /// whether there are more.
    pub(crate) fn scan(&self, prefix: &str, after: &str, limit: usize) -> (Vec<Row<'_>>, bool) {
        let from = if after >= prefix && !after.is_empty() {
            Bound::Excluded(after)
        } else {
            Bound::Included(prefix)
        };
        let mut found = self
            .rows
            .range::<str, _>((from, Bound::Unbounded))
            .take_while(|(key, _)| key.starts_with(prefix));
        let rows = found
            .by_ref()
            .take(limit)
            .map(|(key, stored)| row(key, stored))
            .collect();
        (rows, found.next().is_some())
    }

    fn check(&self, condition: Condition) -> Option<FailedCondition> {
        let (key, wanted) = match condition {
            Condition::Version { key, version } => (key, Some(version)),
            Condition::Absent { key, absent: True } => (key, None),
        };
        let version = self.rows.get(&key).map(|it| it.version);
        (version != wanted).then_some(FailedCondition { key, version })
    }
}

fn row<'a>(key: &'a str, stored: &'a StoredRow) -> Row<'a> {
    Row {
        key,
        version: stored.version,
        value: &stored.value,
    }
}
