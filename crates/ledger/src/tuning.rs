//! The ledger's limits and times.

use std::time::Duration;

/// The ledger's limits and times. Figures and reasons are in `docs/design/ledger.md`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tuning {
    /// The shortest time between two batches of a host.
    pub flush_interval: Duration,
    /// How many transactions a second all hosts together may spend on batches;
    /// with many hosts each waits longer between two batches.
    pub fleet_batches_per_second: u32,
    /// How many records a batch holds at most.
    pub batch_records: usize,
    /// How many records of its own a host holds before it refuses billable calls.
    pub held_records: usize,
    /// How many records of other hosts a host holds at most.
    pub held_copies: usize,
    /// How long a partner has to confirm a copy.
    pub copy_timeout: Duration,
    /// How many copies may be on their way to a partner; further records join the next one.
    pub copy_window: usize,
    /// How long the end of an answer waits for a second copy, wherever it is sought.
    pub release_bound: Duration,
    /// How long a host must be gone before it is fenced.
    pub fence_after: Duration,
    /// How long a claim's write may take, repeats included.
    pub claim_bound: Duration,
    /// How long a failed write waits before it is repeated.
    pub retry_interval: Duration,
    /// How many keys are remembered at most.
    pub keys: usize,
    /// How long a key is remembered after its ticket has expired.
    pub key_linger: Duration,
    /// How large an answer may be to be kept for repeats, in bytes.
    pub outcome_bytes: usize,
    /// How many bytes all kept answers may take.
    pub outcome_total: usize,
    /// How many repeats of one running key may wait for its answer.
    pub waiters: usize,
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
            release_bound: Duration::from_secs(1),
            fence_after: Duration::from_secs(30),
            claim_bound: Duration::from_secs(2),
            retry_interval: Duration::from_millis(500),
            keys: 40_000,
            key_linger: Duration::from_hours(1),
            outcome_bytes: 8 * 1024,
            outcome_total: 8 * 1024 * 1024,
            waiters: 4,
        }
    }
}

impl Tuning {
    /// The time between two batches of a host in a fleet of `hosts`: long
    /// enough that all of them together stay within their share of the table's writes.
    #[must_use]
    pub fn interval(&self, hosts: usize) -> Duration {
        let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
        let share = Duration::from_secs(hosts.into()) / self.fleet_batches_per_second.max(1);
        self.flush_interval.max(share)
    }
}
