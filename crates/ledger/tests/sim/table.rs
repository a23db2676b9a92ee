//! A small model of the table service and its faults.

use std::collections::BTreeMap;

use clients::row::Key;

use ledger::table::{Expect, Page, Row, Transaction, Unavailable, Written};

/// The state of the table service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Mode {
    #[default]
    Fine,
    /// Operations fail at once.
    Out,
    /// Writes fail when the client's timeout expires, reads after the usual delay.
    Hanging,
}

/// The rows and the faults to inject.
#[derive(Debug, Default)]
pub(crate) struct Table {
    pub(crate) rows: BTreeMap<String, (u64, String)>,
    pub(crate) mode: Mode,
    /// The number of coming writes that are applied while their responses are lost.
    pub(crate) lost_responses: u32,
    /// The number of coming writes that are applied after their clients gave up.
    pub(crate) late_writes: u32,
    versions: u64,
}

impl Table {
    pub(crate) fn transact(&mut self, transaction: &Transaction) -> Written {
        let conditions = transaction.conditions.iter().map(|it| &it.key);
        let puts = transaction.puts.iter().map(|it| &it.key);
        conditions
            .chain(puts)
            .chain(&transaction.deletes)
            .for_each(|key| assert_is_row(key));
        let failed: Vec<String> = transaction
            .conditions
            .iter()
            .filter(|condition| {
                let version = self.rows.get(&condition.key).map(|(version, _)| *version);
                match condition.expect {
                    Expect::Absent => version.is_some(),
                    Expect::Version(expected) => version != Some(expected),
                }
            })
            .map(|condition| condition.key.clone())
            .collect();
        if !failed.is_empty() {
            return Written::Failed { keys: failed };
        }
        for put in &transaction.puts {
            self.versions += 1;
            let row = (self.versions, stored(&put.value));
            self.rows.insert(put.key.clone(), row);
        }
        for key in &transaction.deletes {
            self.rows.remove(key);
        }
        Written::Applied
    }

    pub(crate) fn read(&self, key: &str) -> Result<Option<Row>, Unavailable> {
        assert_is_row(key);
        if self.mode != Mode::Fine {
            return Err(Unavailable);
        }
        Ok(self.rows.get(key).map(|row| to_row(key, row)))
    }

    pub(crate) fn scan(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Page, Unavailable> {
        if self.mode != Mode::Fine {
            return Err(Unavailable);
        }
        let mut rows: Vec<Row> = self
            .rows
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
            .map(|(key, row)| to_row(key, row))
            .collect();
        let more = rows.len() > limit;
        rows.truncate(limit);
        Ok(Page { rows, more })
    }
}

/// Checks that the real table's client parses this key and formats it identically.
fn assert_is_row(key: &str) {
    let parsed = Key::parse(key).map(|it| it.to_string());
    assert_eq!(parsed.as_deref(), Some(key));
}

fn to_row(key: &str, (version, value): &(u64, String)) -> Row {
    Row {
        key: key.to_owned(),
        version: *version,
        value: value.clone(),
    }
}

/// Returns the value as a JSON table stores it, with the fields in an order of its own.
fn stored(value: &str) -> String {
    let value: serde_json::Value = serde_json::from_str(value).expect("rows are JSON");
    value.to_string()
}
