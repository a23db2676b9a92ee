//! A customer.

/// A customer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Customer {
    /// Its name, which endpoints are told.
    pub name: kernel::Customer,
    /// The keys by which it is known.
    pub keys: Vec<String>,
    /// Its rank, the most urgent 0; it replaces the route's.
    pub priority: Option<u8>,
}
