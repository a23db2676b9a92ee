//! Customers.

/// A customer, which authenticates with API keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Customer {
    /// The customer's name, which is sent to endpoints.
    pub name: kernel::Customer,
    /// The customer's API keys.
    pub keys: Vec<String>,
    /// Overrides the route's priority; 0 is the most urgent.
    pub priority: Option<u8>,
}
