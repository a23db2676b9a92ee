//! What the ledger tells operators about itself.

use kernel::Incarnation;

/// What a ledger holds and has counted, for the status page and the metrics.
///
/// The counters only rise; the rest is as of now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// The incarnation under which new records are made.
    pub me: Incarnation,
    /// Records of this host that aren't in the table yet.
    pub held: usize,
    /// The bound of [`Status::held`].
    pub held_bound: usize,
    /// Records that are held for other hosts.
    pub copies: usize,
    /// Keys that are remembered.
    pub keys: usize,
    /// Bytes of the answers that are kept for repeats.
    pub outcome_bytes: usize,
    /// What has been counted.
    pub counters: Counters,
}

/// What a ledger has counted since it began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Records made.
    pub records: u64,
    /// Answers whose end went out while the record was on this host alone.
    pub single_copy: u64,
    /// Answers repeated from memory or from the table.
    pub replays: u64,
    /// Copies sent again because a partner didn't confirm in time.
    pub copy_repeats: u64,
    /// Batches written.
    pub batches: u64,
    /// Writes whose answer was lost and that were settled by repeating them.
    pub lost_answers: u64,
    /// Fences that this host put up.
    pub fences: u64,
    /// Records settled one by one for an incarnation that is gone.
    pub settled: u64,
    /// Records that turned out to be billed already and were dropped.
    pub billed_before: u64,
    /// Calls refused because too many records wait for the table.
    pub refused_full: u64,
}
