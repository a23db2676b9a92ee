//! Aggregation of the evidence of all hosts.

use std::collections::HashMap;
use std::time::Duration;

use kernel::HostName;
use serde::{Deserialize, Serialize};

use super::{Evidence, Scope, Update};

/// Time for which a neighbour's partial sum counts. Neighbours send theirs twice a second; the sum
/// of one that exited or reports to another host must expire, or it would be counted twice.
const PARTIAL_SUM_TTL: Duration = Duration::from_secs(2);

/// Minimum time between two totals of the same host.
const TOTAL_INTERVAL: Duration = Duration::from_millis(500);

/// The sum of the evidence of a host and of the hosts below it in the aggregation tree of the
/// aggregating host `root`. A host sends it to the next host on the way to `root`.
///
/// Exchanging evidence between all pairs of hosts, or disseminating it by random gossip, is too
/// expensive or too slow in a large fleet.
///
/// Among 295 hosts, all pairs would exchange 87,000 reports a second, and by random gossip a
/// response took twenty seconds to be known to most. Sums need one report each half second a host,
/// and a response is known in a second or two.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct PartialSum {
    /// Index of the aggregating host that it is for.
    pub root: usize,
    /// The sender's distance from that host, in hops. A receiver that is no nearer must drop the
    /// sum before it applies the update: while hosts disagree on the membership, a sum could
    /// otherwise return to its origin.
    pub distance: u8,
    /// The sum.
    pub evidence: Evidence,
}

/// Evidence of all hosts, published by an aggregating host.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Total {
    /// Identifies the aggregating host.
    #[serde(rename = "gatherer")]
    pub aggregator: u64,
    /// The publishing host's time in milliseconds; it orders the host's totals.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// The total.
    pub evidence: Evidence,
}

/// Evidence of all hosts, as far as this host knows it.
#[derive(Clone, Debug, Default)]
pub(super) struct Pool {
    pub(super) own: Evidence,
    /// The evidence that each other host reported as observed by itself.
    by_host: HashMap<HostName, Evidence>,
    /// Partial sums of neighbours, by aggregating host and neighbour.
    received_sums: HashMap<(usize, HostName), ReceivedSum>,
    totals: HashMap<u64, KnownTotal>,
}

#[derive(Clone, Copy, Debug)]
struct ReceivedSum {
    at: Duration,
    evidence: Evidence,
}

#[derive(Clone, Copy, Debug)]
struct KnownTotal {
    total: Total,
    is_sent: bool,
}

impl Pool {
    /// Applies another host's update. Returns whether it contains a new total to forward.
    pub(super) fn apply_update(&mut self, now: Duration, host: &HostName, update: &Update) -> bool {
        self.by_host.insert(host.clone(), update.evidence);
        for it in &update.partial_sums {
            let received = ReceivedSum {
                at: now,
                evidence: it.evidence,
            };
            self.received_sums.insert((it.root, host.clone()), received);
        }
        let mut has_new = false;
        for total in &update.totals {
            has_new |= self.insert_total(*total);
        }
        has_new
    }

    pub(super) fn partial_sum(&self, now: Duration, root: usize, distance: u8) -> PartialSum {
        let mut evidence = self.own;
        for ((of, _), it) in &self.received_sums {
            if *of == root && now.saturating_sub(it.at) <= PARTIAL_SUM_TTL {
                evidence.add(&it.evidence);
            }
        }
        PartialSum {
            root,
            distance,
            evidence,
        }
    }

    /// Publishes the sum of all reports as the next total. Limited to one per reporting interval,
    /// because every total is forwarded to all hosts, and skipped if the evidence hasn't changed.
    pub(super) fn publish_total(&mut self, now: Duration, root: usize, aggregator: u64) {
        let sequence = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
        let evidence = self.partial_sum(now, root, 0).evidence;
        let is_due = self.totals.get(&aggregator).is_none_or(|it| {
            let since = Duration::from_millis(sequence.saturating_sub(it.total.sequence));
            since >= TOTAL_INTERVAL && it.total.evidence != evidence
        });
        if is_due {
            self.insert_total(Total {
                aggregator,
                sequence,
                evidence,
            });
        }
    }

    pub(super) fn totals(&mut self, scope: Scope) -> Vec<Total> {
        let is_due = |it: &&KnownTotal| scope == Scope::Full || !it.is_sent;
        let due = self.totals.values().filter(is_due);
        let totals = due.map(|it| it.total).collect();
        if scope == Scope::Delta {
            self.totals.values_mut().for_each(|it| it.is_sent = true);
        }
        totals
    }

    /// Returns the most complete evidence known. The total of a new aggregating host is incomplete
    /// until all hosts have reported to it.
    pub(super) fn pooled(&self) -> Evidence {
        let mut direct = self.own;
        self.by_host.values().for_each(|it| direct.add(it));
        let totals = self.totals.values().map(|it| it.total.evidence);
        totals.fold(direct, |most, it| {
            if it.responses() > most.responses() {
                it
            } else {
                most
            }
        })
    }

    fn insert_total(&mut self, total: Total) -> bool {
        let known = self.totals.get(&total.aggregator);
        if known.is_some_and(|it| it.total.sequence >= total.sequence) {
            return false;
        }
        let is_sent = false;
        self.totals
            .insert(total.aggregator, KnownTotal { total, is_sent });
        true
    }
}
