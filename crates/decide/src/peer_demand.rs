//! Customer demand reported by other hosts.

use std::collections::HashMap;
use std::time::Duration;

use kernel::HostName;

use crate::demand::Flow;
use crate::{Demand, Policy, key};

/// The age at which another host's report expires.
const MAX_REPORT_AGE: Duration = Duration::from_secs(10);

/// The last demand report of each other host, and the totals by customer.
#[derive(Debug, Default)]
pub(crate) struct PeerDemand {
    hosts: HashMap<HostName, DemandReport>,
    totals: Vec<CustomerDemand>,
}

/// The demand of one customer, at one other host or summed over all.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CustomerDemand {
    pub(crate) chat: Flow,
    pub(crate) calls: Flow,
}

#[derive(Debug)]
struct DemandReport {
    received_at: Duration,
    /// Indexed by customer of the current policy.
    demand: Vec<CustomerDemand>,
}

impl PeerDemand {
    pub(crate) fn record(&mut self, now: Duration, policy: &Policy, demand: &Demand) {
        let mut report = DemandReport {
            received_at: now,
            demand: vec![CustomerDemand::default(); policy.customers.len()],
        };
        for it in &demand.rates {
            if let Some(customer) = policy.customer(&it.customer) {
                report.demand[customer.index()] = CustomerDemand {
                    chat: it.chat,
                    calls: it.calls,
                };
            }
        }
        self.hosts.insert(demand.host.clone(), report);
    }

    /// Remaps the reports to the keys of a new policy.
    pub(crate) fn configure(&mut self, old_keys: &[Option<key::Customer>]) {
        for report in self.hosts.values_mut() {
            let old = std::mem::take(&mut report.demand);
            let previous =
                |it: &Option<key::Customer>| it.and_then(|it| old.get(it.index()).copied());
            report.demand = old_keys
                .iter()
                .map(|it| previous(it).unwrap_or_default())
                .collect();
        }
        self.totals = vec![CustomerDemand::default(); old_keys.len()];
    }

    /// Removes expired reports and recomputes the totals.
    pub(crate) fn update_totals(&mut self, now: Duration) {
        self.hosts
            .retain(|_, it| now.saturating_sub(it.received_at) < MAX_REPORT_AGE);
        self.totals.fill(CustomerDemand::default());
        // Sorted, because floating-point sums depend on the order of additions.
        let mut hosts: Vec<_> = self.hosts.iter().collect();
        hosts.sort_unstable_by_key(|it| it.0);
        for (_, report) in hosts {
            for (sum, it) in self.totals.iter_mut().zip(&report.demand) {
                sum.chat += it.chat;
                sum.calls += it.calls;
            }
        }
    }

    pub(crate) fn total(&self, customer: key::Customer) -> CustomerDemand {
        self.totals
            .get(customer.index())
            .copied()
            .unwrap_or_default()
    }
}
