//! Calls of plain services.

use http::{Body, Headers, Method};

/// A call as the caller made it, with the path below the service's name.
#[derive(Debug)]
pub struct Call {
    /// The method.
    pub method: Method,
    /// Path and query, from `/`.
    pub target: String,
    /// The caller's headers, passed on but for those that belong to its connection.
    pub headers: Headers,
    /// The body.
    pub body: Body,
}
