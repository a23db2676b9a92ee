//! Limits of a customer.

/// The fleet-wide limits of a customer. They apply to its model requests and,
/// separately, to its calls of plain services.
#[derive(Clone, Debug)]
pub struct Customer {
    /// The name, which identifies it across revisions.
    pub name: kernel::Customer,
    /// Requests per second over all hosts.
    pub rate: f64,
    /// Burst size in requests, over all hosts.
    pub burst: f64,
    /// Maximum number of requests in flight or queued, over all hosts.
    pub concurrency: u32,
    /// Weight in fair queueing when endpoints are full, and in the customer's share
    /// of the queues. Counts as 1 if it isn't positive.
    pub weight: f64,
}
