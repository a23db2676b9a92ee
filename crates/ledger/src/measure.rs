//! Measures the ledger's computing time, messages and table writes per host.
//!
//! A host and its partner run against a simulated table on a virtual clock; only the computing time
//! is real.

mod pair;

use std::time::Duration;

use kernel::Clock;

use crate::{Ledger, Tuning};
use pair::Pair;

/// Duration of a run in virtual time.
const RUN_TIME: Duration = Duration::from_mins(1);

/// The load on a host and its fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Requests with a response per second and host.
    pub rate: f64,
    /// Hosts in the fleet.
    pub hosts: usize,
}

/// The measured cost of one host, which stores as many copies as it makes records.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Figures {
    /// Number of records made in the run.
    pub records: u64,
    /// Elapsed time per record, including its copy, the encoding of both, and the simulation.
    pub processor: Duration,
    /// Messages sent per second.
    pub messages_per_second: f64,
    /// Bytes of messages sent per second. As many are received.
    pub bytes_per_second: f64,
    /// Table transactions per second.
    pub writes_per_second: f64,
    /// Bytes written to the table per second.
    pub table_bytes_per_second: f64,
    /// Table transactions per second of the whole fleet.
    pub fleet_writes_per_second: f64,
}

/// Measures a host under `load` for a minute of virtual time.
pub fn run(clock: &dyn Clock, load: Load) -> Figures {
    let mut pair = Pair::new(Tuning::default(), load.hosts);
    let start = clock.now();
    pair.run(load.rate, RUN_TIME);
    let taken = clock.now().saturating_sub(start);
    let records = pair.records().max(1);
    let per_second = |count: u64| to_f64(count) / RUN_TIME.as_secs_f64();
    let writes_per_second = per_second(pair.writes);
    Figures {
        records,
        processor: taken.div_f64(to_f64(records)),
        messages_per_second: per_second(pair.messages),
        bytes_per_second: per_second(pair.message_bytes),
        writes_per_second,
        table_bytes_per_second: per_second(pair.table_bytes),
        fleet_writes_per_second: writes_per_second * to_f64(load.hosts as u64),
    }
}

/// Returns a host and its partner that hold `records` records while the table is unavailable.
/// Together they use as much memory as one host with that many records and copies.
#[must_use]
pub fn outage(records: usize) -> (Ledger, Ledger) {
    let tuning = Tuning {
        held_records: records,
        held_copies: records,
        ..Tuning::default()
    };
    let mut pair = Pair::new(tuning, 2);
    pair.fill(records);
    pair.into_ledgers()
}

/// Returns a host that remembers `keys` keys of at-most-once calls, each run under one of its
/// tickets, with all records in the table.
#[must_use]
pub fn remembering(keys: usize) -> Ledger {
    let tuning = Tuning {
        max_keys: keys,
        ..Tuning::default()
    };
    let mut pair = Pair::new(tuning, 2);
    pair.remember(keys);
    pair.into_ledgers().0
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts of a run stay below 2^53"
)]
fn to_f64(count: u64) -> f64 {
    count as f64
}
