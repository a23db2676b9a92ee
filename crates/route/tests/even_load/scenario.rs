//! Parameters of a simulation.

use std::fmt;
use std::time::Duration;

use route::LoadPolicy;

use crate::customer::Customer;

/// The parameters of a simulation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Scenario {
    pub(crate) policy: LoadPolicy,
    pub(crate) customer: Customer,
    pub(crate) hosts: usize,
    pub(crate) endpoints: usize,
    /// The work that arrives, relative to what the endpoints can do.
    pub(crate) load: f64,
    /// The age of a load report when a host receives it. The host takes it for new.
    pub(crate) report_age: Duration,
    pub(crate) peers: Peering,
    pub(crate) machines: Machines,
    /// The time in which requests arrive, and the part of it at both ends that isn't counted.
    pub(crate) length: Duration,
    pub(crate) margin: Duration,
    pub(crate) seed: u64,
}

/// Whether hosts know each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Peering {
    Known,
    Unknown,
}

/// Whether endpoints share their machines with other programs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Machines {
    Exclusive,
    /// Endpoints report the pace of their machines, so that every policy acts as
    /// [`LoadPolicy::Contended`].
    Shared,
}

impl Scenario {
    /// Returns a fleet at half of its capacity.
    pub(crate) fn new(policy: LoadPolicy, customer: Customer) -> Self {
        Self {
            policy,
            customer,
            hosts: 75,
            endpoints: 90,
            load: 0.5,
            report_age: Duration::from_secs(1),
            peers: Peering::Known,
            machines: Machines::Exclusive,
            length: Duration::from_secs(14),
            margin: Duration::from_secs(2),
            seed: 1,
        }
    }

    pub(crate) fn with_seed(self, seed: u64) -> Self {
        Self { seed, ..self }
    }

    /// Returns a shorter run.
    pub(crate) fn brief(self) -> Self {
        Self {
            length: Duration::from_secs(4),
            margin: Duration::from_secs(1),
            ..self
        }
    }

    /// Returns the time that is counted.
    pub(crate) fn counted(&self) -> Duration {
        self.length.saturating_sub(self.margin * 2)
    }

    /// Returns whether what happens at this time is counted.
    pub(crate) fn is_counted(&self, at: Duration) -> bool {
        at >= self.margin && at + self.margin < self.length
    }
}

impl fmt::Display for Scenario {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:9} {:9} {:5} {:5} {:4.2} {:3.1} {:4}",
            format!("{:?}", self.policy),
            format!("{:?}", self.customer),
            self.hosts,
            self.endpoints,
            self.load,
            self.report_age.as_secs_f64(),
            self.seed,
        )
    }
}
