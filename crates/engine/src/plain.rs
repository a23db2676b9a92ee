//! Calls to plain services.

use http::{Body, Headers, Method};

/// A caller's call, with the service's name removed from the path.
#[derive(Debug)]
pub struct Call {
    /// The HTTP method.
    pub method: Method,
    /// The path and query, starting with `/`.
    pub target: String,
    /// The caller's headers. Connection headers, the customer's key and headers
    /// reserved for this system are not forwarded.
    pub headers: Headers,
    /// The request body.
    pub body: Body,
}
