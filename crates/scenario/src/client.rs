//! An HTTP client for all processes of a scenario.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{Options, PoolLimits, Request, RetryPolicy, Status};
use kernel::SystemClock;
use serde_json::Value;

/// Maximum size of a response body in bytes.
const BODY_LIMIT: usize = 16 << 20;

/// A client that opens a new connection for each request, so that no step depends on connections
/// that an earlier step left in the pool.
#[derive(Clone)]
pub(crate) struct Client {
    http: http::Client,
}

impl Client {
    pub(crate) fn new() -> Self {
        let pool = PoolLimits {
            max_idle: 0,
            max_idle_time: Duration::ZERO,
            ..PoolLimits::default()
        };
        Self {
            http: http::Client::new(Arc::new(SystemClock::new()), pool),
        }
    }

    /// Sends a request and reads the complete response.
    ///
    /// Returns the error as text when no complete response arrives within `timeout`, or when it is
    /// larger than `BODY_LIMIT`.
    pub(crate) async fn send(
        &self,
        to: SocketAddr,
        request: Request,
        timeout: Duration,
    ) -> Result<Response, String> {
        let options = Options {
            connect: Duration::from_secs(2),
            first_byte: timeout,
            total: timeout,
            retry_policy: RetryPolicy::Never,
        };
        let res = self.http.send(to, request, &options).await;
        let res = res.map_err(|err| err.to_string())?;
        let (status, headers) = (res.status, res.headers);
        let body = res.body.collect(BODY_LIMIT).await;
        Ok(Response {
            status,
            headers,
            body: body.map_err(|err| err.to_string())?,
        })
    }

    /// Sends a `GET` and returns the JSON body; `None` unless the status is a success.
    pub(crate) async fn get(&self, to: SocketAddr, target: &str, key: &str) -> Option<Value> {
        let request = Request::get(target).header("authorization", format!("Bearer {key}"));
        let response = self.send(to, request, Duration::from_secs(2)).await.ok()?;
        response.status.is_success().then(|| response.json())
    }
}

/// A completely read response.
pub(crate) struct Response {
    pub(crate) status: Status,
    pub(crate) headers: http::Headers,
    pub(crate) body: Vec<u8>,
}

impl Response {
    /// Parses the body as JSON; returns null when it isn't valid.
    pub(crate) fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}
