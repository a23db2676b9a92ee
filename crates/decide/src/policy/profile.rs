//! A profile.

use std::time::Duration;

use kernel::{Money, ProfileName};

use crate::key;

/// What operators promise the services that name this profile.
#[derive(Clone, Debug)]
pub struct Profile {
    /// Its name, by which it is recognised in the next revision.
    pub name: ProfileName,
    /// Who may use it, and with which versions. A customer without an entry may not.
    pub allowed: Vec<Allowance>,
    /// The share of answers (0 to 1) that have to be good.
    pub target: f64,
    /// The most that one request may cost over all its attempts.
    pub cap: Option<Money>,
    /// Whether its requests may run more than once.
    pub repeat: Repeat,
    /// The priority of requests that name none.
    pub priority: Priority,
    /// How long a request may take from its arrival when the caller sets no deadline.
    pub deadline: Duration,
}

/// The versions that one customer may use through a profile.
#[derive(Clone, Debug)]
pub struct Allowance {
    /// The customer.
    pub customer: key::Customer,
    /// The versions, in any order.
    pub versions: Vec<key::Version>,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Repeat {
    /// Running it again does no harm.
    #[default]
    Idempotent,
    /// It is never sent again once bytes of it may have left.
    AtMostOnce,
}

/// The order in which requests that wait for the same endpoints are sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Priority {
    /// Holds, gate scans and whoever waits at a counter.
    Urgent,
    /// A person waits.
    #[default]
    Interactive,
    /// Nobody waits.
    Batch,
}

impl Priority {
    /// All priorities, the first to be served first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Interactive, Self::Batch];

    /// Its place in [`Self::ALL`].
    #[must_use]
    pub fn index(self) -> usize {
        match self {
            Self::Urgent => 0,
            Self::Interactive => 1,
            Self::Batch => 2,
        }
    }
}
