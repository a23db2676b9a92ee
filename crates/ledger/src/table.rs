//! The table service's interface, as the ledger uses it.

use slotmap::new_key_type;

new_key_type! {
    /// Identifies a table operation in flight.
    pub struct Op;
}

/// An atomic write. It is applied if every condition holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// The conditions.
    pub conditions: Vec<Condition>,
    /// The rows to write.
    pub puts: Vec<Put>,
    /// The keys of the rows to delete.
    pub deletes: Vec<String>,
}

/// A condition on one row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Condition {
    /// The row's key.
    pub key: String,
    /// The expected state of the row.
    pub expect: Expect,
}

/// The expected state of a row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expect {
    /// The row doesn't exist.
    Absent,
    /// The row has this version.
    Version(u64),
}

/// A row to write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Put {
    /// The row's key.
    pub key: String,
    /// The row's value in JSON.
    pub value: String,
}

/// A row that was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// The row's key.
    pub key: String,
    /// The version that its last write assigned.
    pub version: u64,
    /// The row's value in JSON.
    pub value: String,
}

/// Rows of a range, sorted by key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The rows.
    pub rows: Vec<Row>,
    /// Whether the range has further rows.
    pub more: bool,
}

/// The result of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Written {
    /// It was applied.
    Applied,
    /// It was not applied, because the conditions on these rows don't hold.
    Failed {
        /// The rows' keys.
        keys: Vec<String>,
    },
    /// It was not applied: it wasn't sent, or the table rejected it.
    NotApplied,
    /// It may be applied, already or later.
    Unknown,
}

/// The table didn't respond to a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unavailable;
