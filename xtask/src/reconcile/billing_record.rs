//! Billing records in the table.

use serde_json::Value;

/// One billing record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BillingRecord {
    /// The customer who is billed.
    pub customer: String,
    /// The caller's idempotency key, or the request's id if it sent none. The suffix after `~`, by
    /// which the ledger distinguishes different bodies under one key, is removed. A key that itself
    /// contains `~` is cut at it too; the callers here use none.
    pub key: String,
    /// The amount in microcents.
    pub microcents: u64,
}

impl BillingRecord {
    /// Returns the records at any depth of a table row. A record is an object with a request's
    /// `key` and `charge`.
    #[must_use]
    pub fn find_in(row: &Value) -> Vec<Self> {
        match row {
            Value::Object(fields) => Self::parse(row).map_or_else(
                || fields.values().flat_map(Self::find_in).collect(),
                |it| vec![it],
            ),
            Value::Array(items) => items.iter().flat_map(Self::find_in).collect(),
            Value::String(text) => serde_json::from_str(text)
                .map_or_else(|_| Vec::new(), |it: Value| find_in_json_text(&it)),
            _ => Vec::new(),
        }
    }

    fn parse(record: &Value) -> Option<Self> {
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

/// Returns the records in JSON that a row contains as text. Scalars contain none.
fn find_in_json_text(value: &Value) -> Vec<BillingRecord> {
    if value.is_object() || value.is_array() {
        BillingRecord::find_in(value)
    } else {
        Vec::new()
    }
}
