//! Aggregation of the evidence of all hosts.

use std::collections::HashMap;
use std::time::Duration;

use kernel::HostName;
use serde::{Deserialize, Serialize};

use super::{Evidence, News, Scope};

/// How long a neighbour's partial sum counts. Neighbours send theirs twice a second; the sum of
/// one that died or changed its parent must expire, or it would be counted twice.
const KEPT: Duration = Duration::from_secs(2);

/// Minimum time between two totals of the same host.
const PERIOD: Duration = Duration::from_millis(500);

/// Evidence of a host and of the hosts below it in the aggregation tree, on its way to an
/// aggregating host.
///
/// Exchanging evidence between all pairs of hosts, or spreading it by random gossip, is too
/// expensive or too slow in a large fleet. With sums built on the way, each host sends one report
/// per interval.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sum {
    /// Index of the aggregating host that it is for.
    pub root: usize,
    /// The sender's distance from that host, in hops. A receiver that is no nearer ignores the
    /// sum: while hosts disagree on the membership, a sum could otherwise return to its origin.
    pub distance: u8,
    /// The sum.
    pub evidence: Evidence,
}

/// Evidence of all hosts, published by an aggregating host.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Total {
    /// Identifies the aggregating host.
    pub gatherer: u64,
    /// Increases with each total that the host publishes.
    pub number: u64,
    /// The total.
    pub evidence: Evidence,
}

/// Evidence of all hosts, as far as this host knows it.
#[derive(Clone, Debug, Default)]
pub(super) struct Pool {
    pub(super) own: Evidence,
    /// The evidence that each other host reported as observed by itself.
    others: HashMap<HostName, Evidence>,
    /// Partial sums of neighbours, by aggregating host and neighbour.
    parts: HashMap<(usize, HostName), Part>,
    totals: HashMap<u64, Known>,
}

#[derive(Clone, Copy, Debug)]
struct Part {
    at: Duration,
    evidence: Evidence,
}

#[derive(Clone, Copy, Debug)]
struct Known {
    total: Total,
    is_told: bool,
}

impl Pool {
    /// Applies another host's update. Returns whether it contains a new total to forward.
    pub(super) fn hear(&mut self, now: Duration, host: &HostName, news: &News) -> bool {
        self.others.insert(host.clone(), news.evidence);
        for it in &news.sums {
            let part = Part {
                at: now,
                evidence: it.evidence,
            };
            self.parts.insert((it.root, host.clone()), part);
        }
        let mut is_later = false;
        for total in &news.totals {
            is_later |= self.take(*total);
        }
        is_later
    }

    pub(super) fn sum(&self, now: Duration, root: usize, distance: u8) -> Sum {
        let mut evidence = self.own;
        for ((of, _), it) in &self.parts {
            if *of == root && now.saturating_sub(it.at) <= KEPT {
                evidence.add(&it.evidence);
            }
        }
        Sum {
            root,
            distance,
            evidence,
        }
    }

    /// Publishes the sum of all reports as the next total. Limited to one per reporting interval,
    /// because every total is forwarded to all hosts.
    pub(super) fn gather(&mut self, now: Duration, root: usize, gatherer: u64) {
        let number = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
        let evidence = self.sum(now, root, 0).evidence;
        let is_due = self.totals.get(&gatherer).is_none_or(|it| {
            let since = Duration::from_millis(number.saturating_sub(it.total.number));
            since >= PERIOD && it.total.evidence != evidence
        });
        if is_due {
            self.take(Total {
                gatherer,
                number,
                evidence,
            });
        }
    }

    pub(super) fn totals(&mut self, scope: Scope) -> Vec<Total> {
        let is_due = |it: &&Known| scope == Scope::All || !it.is_told;
        let due = self.totals.values().filter(is_due);
        let totals = due.map(|it| it.total).collect();
        if scope == Scope::Fresh {
            self.totals.values_mut().for_each(|it| it.is_told = true);
        }
        totals
    }

    /// Returns the most complete evidence known. The total of a new aggregating host is incomplete
    /// until all hosts have reported to it.
    pub(super) fn pooled(&self) -> Evidence {
        let mut direct = self.own;
        self.others.values().for_each(|it| direct.add(it));
        let totals = self.totals.values().map(|it| it.total.evidence);
        totals.fold(direct, |most, it| {
            if it.answers() > most.answers() {
                it
            } else {
                most
            }
        })
    }

    fn take(&mut self, total: Total) -> bool {
        let known = self.totals.get(&total.gatherer);
        if known.is_some_and(|it| it.total.number >= total.number) {
            return false;
        }
        let is_told = false;
        self.totals.insert(total.gatherer, Known { total, is_told });
        true
    }
}
