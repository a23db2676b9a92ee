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
    /// A host that nobody answers for this long counts as cut off itself; see
    /// [`crate::Fleet::is_alone`].
    pub alone_after: Duration,
    /// Between two comparisons of views with a random member.
    pub compare_every: Duration,
    /// For this long a neighbour's view may differ before it is compared,
    /// because news under way makes views differ for a moment.
    pub view_patience: Duration,
    /// Between two attempts to reach members that are out of reach.
    pub reconnect_every: Duration,
    /// The same while no other member is known.
    pub join_every: Duration,
    /// How many probes carry a piece of news after it was pushed.
    pub carries: u32,
    /// Between two pushes of news.
    pub push_every: Duration,
    /// The same while more news wait than one push carries, as after a healed cut.
    pub push_every_when_full: Duration,
    /// How many bytes of news one push or probe carries, about.
    pub news_bytes: usize,
    /// Between two reads of the table by a host that polls.
    pub poll_every: Duration,
    /// Between two reads by another host whose proof is older than this.
    pub poll_when_older: Duration,
    /// How many hosts of a data centre poll the table.
    pub pollers: usize,
    /// From a fetch of the configuration to the next try with another host.
    pub fetch_timeout: Duration,
    /// Between two batches of evidence that tells of something bad, on the way
    /// to where it is judged.
    pub evidence_urgent: Duration,
    /// Between two batches of other evidence to all members of a small fleet.
    pub evidence_to_members: Duration,
    /// The same to a relay in a larger one.
    pub evidence_to_relay: Duration,
    /// The same from a relay to a home.
    pub evidence_to_home: Duration,
    /// The same from a home back to all.
    pub evidence_to_all: Duration,
    /// Up to this many members evidence goes to all of them directly.
    pub evidence_direct: usize,
    /// How many homes a group of topics has above that size.
    pub evidence_homes: usize,
    /// How many loads of other hosts a probe carries.
    pub loads: usize,
    /// A load older than this counts as unknown.
    pub load_age: Duration,
    /// How many hosts a hand-out names at most.
    pub handout: usize,
    /// Between two rounds of forgetting.
    pub housekeeping_every: Duration,
    /// For this long news of endpoints are compared; later the host list shows them.
    pub endpoint_age: Duration,
    /// An unreachable incarnation is dead after this long, and forgotten after
    /// as long again.
    pub forget_after: Duration,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            probe_every: Duration::from_secs(1),
            probe_timeout: Duration::from_millis(500),
            helpers: 3,
            suspicion: Duration::from_secs(1),
            rings: 3,
            alone_after: Duration::from_secs(10),
            compare_every: Duration::from_mins(1),
            view_patience: Duration::from_secs(4),
            reconnect_every: Duration::from_secs(10),
            join_every: Duration::from_secs(1),
            carries: 3,
            push_every: Duration::from_millis(50),
            push_every_when_full: Duration::from_millis(500),
            news_bytes: 900,
            poll_every: Duration::from_secs(1),
            poll_when_older: Duration::from_secs(8),
            pollers: 2,
            fetch_timeout: Duration::from_secs(1),
            evidence_urgent: Duration::from_millis(250),
            evidence_to_members: Duration::from_secs(1),
            evidence_to_relay: Duration::from_secs(4),
            evidence_to_home: Duration::from_secs(8),
            evidence_to_all: Duration::from_secs(10),
            evidence_direct: 8,
            evidence_homes: 2,
            loads: 5,
            load_age: Duration::from_secs(20),
            handout: 12,
            housekeeping_every: Duration::from_mins(1),
            endpoint_age: Duration::from_mins(10),
            forget_after: Duration::from_hours(2),
        }
    }
}
