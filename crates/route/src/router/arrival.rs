//! Requests that come in.

use std::time::Duration;

use crate::Shape;

/// A request that came in.
#[derive(Clone, Debug)]
pub struct Arrival<'a> {
    /// Its name, as the caller gave it; another attempt of the caller's has another.
    pub id: &'a str,
    /// The host that it is for, in lower case and without a port.
    pub host: &'a str,
    /// The path, without a query.
    pub path: &'a str,
    /// The body.
    pub body: &'a [u8],
    /// The customer's key, if it has one.
    pub key: Option<&'a str>,
    /// How long the caller waits.
    pub patience: Option<Duration>,
    /// What it asks for.
    pub shape: Shape,
}
