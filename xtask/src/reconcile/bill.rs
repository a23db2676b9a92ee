//! Billing records as the table has them.

use serde_json::Value;

/// One billing record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Bill {
    /// The customer who pays.
    pub customer: String,
    /// The caller's key, or the request when it gave none. What the ledger
    /// adds behind a `/` to tell two bodies under one key apart is left out.
    pub key: String,
    /// The amount.
    pub microcents: u64,
}

impl Bill {
    /// All records within a table row, however its batch is laid out: a record
    /// is an object with a request's `key` and its `charge`.
    #[must_use]
    pub fn within(row: &Value) -> Vec<Self> {
        match row {
            Value::Object(fields) => Self::read(row).map_or_else(
                || fields.values().flat_map(Self::within).collect(),
                |it| vec![it],
            ),
            Value::Array(items) => items.iter().flat_map(Self::within).collect(),
            Value::String(text) => {
                serde_json::from_str(text).map_or_else(|_| Vec::new(), |it: Value| nested(&it))
            }
            _ => Vec::new(),
        }
    }

    fn read(record: &Value) -> Option<Self> {
        let key = record.get("key")?;
        let name = key.get("key")?.as_str()?;
        let name = name.split_once('~').map_or(name, |(name, _)| name);
        Some(Self {
            customer: key.get("customer")?.as_str()?.to_owned(),
            key: name.to_owned(),
            microcents: record.get("charge")?.get("money")?.as_u64()?,
        })
    }
}

/// A value that was a text in a row; plain texts have no records in them.
fn nested(value: &Value) -> Vec<Bill> {
    if value.is_object() || value.is_array() {
        Bill::within(value)
    } else {
        Vec::new()
    }
}
