//! The table service as the ledger sees it: what it asks for and what comes back.

use slotmap::new_key_type;

new_key_type! {
    /// An operation on the table that hasn't ended yet.
    pub struct Op;
}

/// An atomic write. It takes effect when every condition holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// What must hold.
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
    /// What must hold for it.
    pub expect: Expect,
}

/// What must hold for a row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expect {
    /// There is no such row.
    Absent,
    /// The row has this version.
    Version(u64),
}

/// A row to write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Put {
    /// The row's key.
    pub key: String,
    /// The row's value, a JSON text.
    pub value: String,
}

/// A row as read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// The row's key.
    pub key: String,
    /// The version that its last write got.
    pub version: u64,
    /// The row's value, a JSON text.
    pub value: String,
}

/// Rows of a range, sorted by key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The rows.
    pub rows: Vec<Row>,
    /// Whether the range goes on.
    pub more: bool,
}

/// What came of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Written {
    /// It took effect.
    Applied,
    /// It took no effect: the conditions on these rows don't hold.
    Failed {
        /// The rows' keys.
        keys: Vec<String>,
    },
    /// It took no effect: it never reached the table.
    NotApplied,
    /// It may have taken effect, now or later.
    Unknown,
}

/// The table gave no answer to a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unavailable;
