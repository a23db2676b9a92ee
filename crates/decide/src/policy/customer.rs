//! A customer's limits.

/// The limits of a customer over the whole fleet.
#[derive(Clone, Debug)]
pub struct Customer {
    /// Its name, by which it is recognised in the next revision.
    pub name: kernel::Customer,
    /// Requests a second over all hosts.
    pub rate: f64,
    /// Requests above the rate that may come at once, over all hosts.
    pub burst: f64,
    /// Requests in flight or waiting at once, over all hosts.
    pub concurrency: u32,
    /// Its weight when it shares a full pool with others.
    pub weight: f64,
}
