//! The core's constants, in one place so that tests and measurements can vary them.

use std::time::Duration;

/// Intervals, bounds and counts of the core.
#[derive(Clone, Debug)]
pub struct Tuning {
    /// Between two probes of this host.
    pub probe_every: Duration,
    /// From a probe to the request for help, and as long again to the suspicion.
    pub probe_timeout: Duration,
    /// How many members are asked to probe a silent one.
    pub helpers: usize,
    /// A suspicion lasts this long times log2 of the fleet's size.
    pub suspicion: Duration,
    /// How many hash rings give this host its neighbours.
    pub rings: usize,
    /// Between two comparisons of views with a random member.
    pub compare_every: Duration,
    /// Between two attempts to reach members that are out of reach.
    pub reconnect_every: Duration,
    /// Between two reads of the table by a host that polls.
    pub poll_every: Duration,
    /// How many hosts of a data centre poll the table.
    pub pollers: usize,
    /// From a fetch of the configuration to the next try with another host.
    pub fetch_timeout: Duration,
    /// Between two batches of evidence.
    pub evidence_every: Duration,
    /// Up to this many members evidence goes to all of them directly.
    pub evidence_direct: usize,
    /// How many homes a topic of evidence has above that size.
    pub evidence_homes: usize,
    /// How long a record of a dead or unreachable incarnation is kept.
    pub forget_after: Duration,
    /// A load older than this counts as unknown.
    pub load_age: Duration,
    /// How many bytes of news one probe carries at most.
    pub news_bytes: usize,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            probe_every: Duration::from_secs(1),
            probe_timeout: Duration::from_millis(400),
            helpers: 3,
            suspicion: Duration::from_secs(1),
            rings: 3,
            compare_every: Duration::from_secs(30),
            reconnect_every: Duration::from_secs(10),
            poll_every: Duration::from_secs(1),
            pollers: 2,
            fetch_timeout: Duration::from_secs(1),
            evidence_every: Duration::from_millis(250),
            evidence_direct: 8,
            evidence_homes: 2,
            forget_after: Duration::from_hours(2),
            load_age: Duration::from_secs(20),
            news_bytes: 900,
        }
    }
}
