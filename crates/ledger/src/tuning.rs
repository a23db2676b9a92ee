//! The ledger's tuning parameters.

use std::time::Duration;

/// Limits and times of the ledger. The reasons are in `docs/design/ledger.md`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tuning {
    /// Minimum time for which a record waits for its batch, unless the batch is full, no host can
    /// store copies, or this host shuts down.
    pub flush_interval: Duration,
    /// Number of batch transactions per second of all hosts together, from which the waiting time
    /// of a record in a large fleet is derived. The same exceptions apply.
    pub fleet_batches_per_second: u32,
    /// Maximum number of records in a batch.
    pub batch_records: usize,
    /// Number of unwritten records, including those adopted and taken over, at which a host starts
    /// no call and adopts no record.
    pub held_records: usize,
    /// Maximum number of copies that a host stores for other hosts.
    pub held_copies: usize,
    /// Time within which a partner must confirm a copy.
    pub copy_timeout: Duration,
    /// Maximum number of unconfirmed copy messages to a partner. Further records wait for a
    /// confirmation.
    pub copy_window: usize,
    /// Maximum time for which a response waits for a second copy of its record.
    pub release_timeout: Duration,
    /// Time for which a host must be gone before it is fenced.
    pub fence_after: Duration,
    /// Time after which a failed write of a claim isn't retried.
    pub claim_timeout: Duration,
    /// Delay before a failed table operation is retried.
    pub retry_interval: Duration,
    /// Maximum number of remembered keys.
    pub max_keys: usize,
    /// Time for which a key is remembered after its ticket has expired, after its first call if it
    /// has no ticket, or after its adoption if another host ran it.
    pub key_retention: Duration,
    /// Maximum size of a response that is stored for retries, in bytes.
    pub max_outcome_bytes: usize,
    /// Maximum size of the stored responses in bytes, for the remembered keys, the unwritten
    /// records and the received copies each.
    pub max_total_outcome_bytes: usize,
    /// Maximum number of retries that wait for the response of one key.
    pub max_waiters: usize,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            flush_interval: Duration::from_secs(1),
            fleet_batches_per_second: 150,
            batch_records: 500,
            held_records: 40_000,
            held_copies: 40_000,
            copy_timeout: Duration::from_millis(250),
            copy_window: 4,
            release_timeout: Duration::from_secs(1),
            fence_after: Duration::from_secs(30),
            claim_timeout: Duration::from_secs(2),
            retry_interval: Duration::from_millis(500),
            max_keys: 40_000,
            key_retention: Duration::from_hours(1),
            max_outcome_bytes: 8 * 1024,
            max_total_outcome_bytes: 8 * 1024 * 1024,
            max_waiters: 4,
        }
    }
}

impl Tuning {
    /// Returns the time for which a record waits for its batch in a fleet of `hosts`, such that the
    /// whole fleet stays within `fleet_batches_per_second`. Full and urgent batches don't wait.
    #[must_use]
    pub fn interval(&self, hosts: usize) -> Duration {
        let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
        let share = Duration::from_secs(hosts.into()) / self.fleet_batches_per_second.max(1);
        self.flush_interval.max(share)
    }
}
