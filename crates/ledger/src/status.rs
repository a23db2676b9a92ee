//! Status of the ledger for operators.

use kernel::Incarnation;

/// The state and counters of a ledger, for the status page and the metrics.
///
/// The counters only rise; the other values are current.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// The current incarnation.
    pub me: Incarnation,
    /// Number of records of this host that aren't in the table yet.
    pub held: usize,
    /// Value of [`Status::held`] from which no call is started.
    pub held_bound: usize,
    /// Number of copies stored for other hosts.
    pub copies: usize,
    /// Number of remembered keys.
    pub keys: usize,
    /// Size of the responses stored for retries, in bytes.
    pub outcome_bytes: usize,
    /// The counters.
    pub counters: Counters,
}

/// Counters since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Records added: made, adopted or taken over.
    pub records: u64,
    /// Records whose responses were released while the record was on this host alone.
    pub single_copy: u64,
    /// Stored responses sent to retries, from memory or from the table.
    pub replays: u64,
    /// Copy messages that were refused or not confirmed in time.
    pub copy_retries: u64,
    /// Batches written.
    pub batches: u64,
    /// Batches and claims confirmed after the response to an earlier write was lost.
    pub lost_responses: u64,
    /// Fences set by this host.
    pub fences: u64,
    /// Records settled in rows of their own.
    pub settled: u64,
    /// Records dropped because their keys had been billed before.
    pub billed_before: u64,
    /// Calls refused because too many records wait for the table.
    pub refused_full: u64,
}
