//! Limits on the rate of requests to endpoints that have just started.

use std::time::Duration;

/// The warm-up limits of a service's endpoints.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUp {
    /// The duration of a full warm-up. Endpoints whose data centre is back in use count as cold for
    /// this time; the others report their own remaining time.
    pub span: Duration,
    /// Requests per second that a cold endpoint takes from all hosts together.
    pub rate: f64,
}
