//! What the other hosts say of their customers' demand.

use std::collections::HashMap;
use std::time::Duration;

use kernel::HostName;

use crate::demand::Flow;
use crate::{Demand, Policy, key};

/// How long a host's word counts.
const KEEP: Duration = Duration::from_secs(10);

/// What the other hosts say of their customers' demand, with its sums.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    hosts: HashMap<HostName, Word>,
    sums: Vec<Elsewhere>,
}

/// The demand of a customer at other hosts.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Elsewhere {
    pub(crate) chat: Flow,
    pub(crate) calls: Flow,
}

#[derive(Debug)]
struct Word {
    at: Duration,
    /// By customer of the present policy.
    demand: Vec<Elsewhere>,
}

impl Peers {
    pub(crate) fn heard(&mut self, now: Duration, policy: &Policy, demand: &Demand) {
        let mut word = Word {
            at: now,
            demand: vec![Elsewhere::default(); policy.customers.len()],
        };
        for it in &demand.rates {
            if let Some(customer) = policy.customer(&it.customer) {
                word.demand[customer.index()] = Elsewhere {
                    chat: it.chat,
                    calls: it.calls,
                };
            }
        }
        self.hosts.insert(demand.host.clone(), word);
    }

    /// Keeps what was heard under the new policy's keys.
    pub(crate) fn configure(&mut self, moved: &[Option<key::Customer>]) {
        for word in self.hosts.values_mut() {
            let old = std::mem::take(&mut word.demand);
            let known = |it: &Option<key::Customer>| it.and_then(|it| old.get(it.index()).copied());
            word.demand = moved
                .iter()
                .map(|it| known(it).unwrap_or_default())
                .collect();
        }
        self.sums = vec![Elsewhere::default(); moved.len()];
    }

    /// Forgets hosts that have been silent and sums up the others.
    pub(crate) fn settle(&mut self, now: Duration) {
        self.hosts.retain(|_, it| now.saturating_sub(it.at) < KEEP);
        self.sums.fill(Elsewhere::default());
        // Sorted, since the order of additions shows in the last digits.
        let mut hosts: Vec<_> = self.hosts.iter().collect();
        hosts.sort_unstable_by_key(|it| it.0);
        for (_, word) in hosts {
            for (sum, it) in self.sums.iter_mut().zip(&word.demand) {
                sum.chat += it.chat;
                sum.calls += it.calls;
            }
        }
    }

    pub(crate) fn elsewhere(&self, customer: key::Customer) -> Elsewhere {
        self.sums.get(customer.index()).copied().unwrap_or_default()
    }
}
