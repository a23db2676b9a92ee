//! What all hosts have seen of a roll-out's releases.

use std::collections::HashMap;
use std::time::Duration;

use kernel::HostName;
use serde::{Deserialize, Serialize};

use super::{Evidence, News, Scope};

/// How long what a neighbour told of its part counts. It tells twice a second; one
/// that has died or tells another one now would be counted twice.
const KEPT: Duration = Duration::from_secs(2);

/// How often a total is told.
const PERIOD: Duration = Duration::from_millis(500);

/// What a host and those behind it have seen, on its way to one who gathers it.
///
/// Each host to every other would be 87,000 reports a second among 295, and told on at
/// random an answer took twenty seconds to be known to most. Added up on the way, a
/// report each half second a host is enough, and one answer takes a second or two.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sum {
    /// Which of those who gather it is for.
    pub root: usize,
    /// How many hops the teller is away from there. Who is no nearer doesn't take it:
    /// while hosts differ about who lives, a sum could come back to where it was.
    pub distance: u8,
    /// What was seen.
    pub evidence: Evidence,
}

/// What all hosts have seen, as one who gathers it says.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Total {
    /// Who gathered it.
    pub gatherer: u64,
    /// Rises with each that it tells.
    pub number: u64,
    /// What was seen.
    pub evidence: Evidence,
}

/// What all hosts have seen, as far as this one knows.
#[derive(Clone, Debug, Default)]
pub(super) struct Pool {
    pub(super) own: Evidence,
    /// What each host that tells this one has seen itself.
    others: HashMap<HostName, Evidence>,
    /// What neighbours told of themselves and those behind them, by whom it is for.
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
    /// Takes what another host tells, and says whether it is to be told on.
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

    /// Takes what all have told this host as the next total, at most as often as they
    /// tell it: each total goes round all hosts.
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

    /// The most complete of what is known: a host that has just come to gather
    /// hears of all within a second or two, and its total is small until then.
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
