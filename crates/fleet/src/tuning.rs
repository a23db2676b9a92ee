//! Parameters of the core, which tests and measurements can vary.

use std::time::Duration;

/// Intervals, limits and counts used by the core.
#[derive(Clone, Debug)]
pub struct Tuning {
    /// The interval between probes.
    pub probe_every: Duration,
    /// The timeout after which indirect probes are requested. The target may become
    /// suspect at three times this after the probe.
    pub probe_timeout: Duration,
    /// The number of members asked to probe an unresponsive one.
    pub helpers: usize,
    /// The time in which a suspect can refute the suspicion, for a fleet of two. It is
    /// multiplied by log2 of the fleet's size, rounded up and at least 1.
    pub suspicion: Duration,
    /// The number of hash rings from which neighbours are chosen.
    pub rings: usize,
    /// The time without an ack after which a host counts as isolated; see
    /// [`crate::Fleet::is_isolated`].
    pub isolated_after: Duration,
    /// The interval between comparisons of views with a random member.
    pub compare_every: Duration,
    /// The time for which another host's view must differ before the two are compared
    /// in full. Updates in flight make views differ briefly.
    pub compare_after_differing: Duration,
    /// The interval between attempts to contact an unreachable member or an unknown
    /// listed host, multiplied by the fleet's size divided by 16, rounded up.
    pub reconnect_every: Duration,
    /// The interval between join attempts while no other member is reachable.
    pub join_every: Duration,
    /// The number of probes and acks that carry an update in addition to its push.
    pub piggybacks_per_update: u32,
    /// The interval between pushes of updates.
    pub push_every: Duration,
    /// The interval between pushes while more updates wait than one push carries, as
    /// after a network partition heals.
    pub push_every_when_full: Duration,
    /// The approximate limit on the bytes of updates in a push, probe or ack.
    pub news_bytes: usize,
    /// The interval between table reads of a poller or an isolated host.
    pub poll_every: Duration,
    /// The age of its proof above which a host that isn't a poller reads the table
    /// itself.
    pub poll_when_older: Duration,
    /// The number of hosts per data centre that poll the table.
    pub pollers: usize,
    /// The timeout of a configuration fetch, after which the next holder is tried.
    pub fetch_timeout: Duration,
    /// The batching delay for urgent evidence, which reports faults, on the way to
    /// the hosts that evaluate it.
    pub evidence_urgent: Duration,
    /// The batching delay for other evidence to all members of a small fleet.
    pub evidence_to_members: Duration,
    /// The batching delay for other evidence to a relay in a larger fleet.
    pub evidence_to_relay: Duration,
    /// The batching delay for other evidence from a relay to a home host.
    pub evidence_to_home: Duration,
    /// The batching delay for evidence from a home host back to all members.
    pub evidence_to_all: Duration,
    /// The largest fleet size, this host included, at which evidence goes directly
    /// to all members.
    pub evidence_direct: usize,
    /// The maximum number of home hosts of a topic group in larger fleets.
    pub evidence_homes: usize,
    /// The maximum number of other hosts' loads that a probe or ack carries.
    pub loads: usize,
    /// The age above which a load counts as unknown.
    pub load_age: Duration,
    /// The maximum number of hosts in a hand-out to a caller.
    pub handout: usize,
    /// The interval of housekeeping: declaring members dead that were unreachable for
    /// long, and removing expired state.
    pub housekeeping_every: Duration,
    /// The time for which an endpoint update is part of view comparisons; after that
    /// the host list covers it.
    pub endpoint_compared_for: Duration,
    /// The time after which an unreachable incarnation is declared dead, and a dead
    /// one removed. A host that was frozen for longer is deposed.
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
            isolated_after: Duration::from_secs(10),
            compare_every: Duration::from_mins(1),
            compare_after_differing: Duration::from_secs(4),
            reconnect_every: Duration::from_secs(10),
            join_every: Duration::from_secs(1),
            piggybacks_per_update: 3,
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
            endpoint_compared_for: Duration::from_mins(10),
            forget_after: Duration::from_hours(2),
        }
    }
}
