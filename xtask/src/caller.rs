//! A client of the callers' API.
//!
//! It caches the list of hosts, retries at other hosts with the same idempotency key
//! and ticket, and respects the retry delay in a refusal, up to a limit.

mod events;
mod hosts;
mod record;
mod request;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use gate::problem::{Problem, Reason, Run};
use http::{Client, Options, Response, RetryPolicy};
use kernel::Clock;

use crate::caller::hosts::Hosts;

pub use events::parse_stream;
pub use record::{Call, CallResponse, Outcome, Refusal, Try};
pub use request::PlannedCall;

/// Maximum number of tries of one call.
const MAX_TRIES: usize = 6;
/// Delay before the next try unless a refusal names another.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Maximum delay between two tries.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Maximum size of a response body in bytes.
const BODY_LIMIT: usize = 4 << 20;

/// A client of one customer. Its calls share a cached list of hosts.
pub struct Caller {
    clock: Arc<dyn Clock>,
    client: Client,
    hosts: Hosts,
    key: String,
    options: Options,
}

impl Caller {
    /// Creates a caller that asks the hosts at `initial_addresses` for the list of hosts.
    #[must_use]
    pub fn new(
        clock: Arc<dyn Clock>,
        client: Client,
        initial_addresses: Vec<SocketAddr>,
        data_centre: &str,
        key: String,
    ) -> Self {
        let options = Options {
            connect: Duration::from_millis(500),
            first_byte: Duration::from_secs(6),
            total: Duration::from_secs(12),
            retry_policy: RetryPolicy::Never,
        };
        let hosts = Hosts::new(Arc::clone(&clock), initial_addresses, data_centre);
        Self {
            clock,
            client,
            hosts,
            key,
            options,
        }
    }

    /// Makes one call, with retries.
    pub async fn call(&self, planned: &PlannedCall) -> Call {
        let started = self.clock.now();
        let mut tries: Vec<Try> = Vec::new();
        let mut ticket = None;
        while tries.len() < MAX_TRIES {
            let avoid: Vec<_> = tries.iter().map(|it| it.host).collect();
            let Some(target) = self
                .hosts
                .choose(&self.client, &self.key, planned, &avoid)
                .await
            else {
                task::sleep(DEFAULT_RETRY_DELAY).await;
                tries.push(Try::without_host());
                continue;
            };
            let ticket = ticket.get_or_insert(target.ticket);
            let request = planned.request(&self.key, ticket);
            let res = self
                .client
                .send(target.address, request, &self.options)
                .await;
            let outcome = match res {
                Ok(res) => read_response(planned, res).await,
                Err(err) => Outcome::Failed(err.to_string()),
            };
            if matches!(outcome, Outcome::Failed(_)) {
                self.hosts.invalidate(target.address);
            }
            let delay = retry_delay(&outcome);
            tries.push(Try {
                host: target.address,
                outcome,
            });
            match delay {
                Some(delay) => task::sleep(delay).await,
                None => break,
            }
        }
        Call {
            name: planned.name.clone(),
            kind: planned.kind,
            customer: planned.customer,
            tries,
            duration: self.clock.now().saturating_sub(started),
        }
    }
}

/// Returns the delay before the next try, or `None` if the call is not retried.
fn retry_delay(outcome: &Outcome) -> Option<Duration> {
    match outcome {
        Outcome::Completed(_) => None,
        Outcome::Failed(_) => Some(DEFAULT_RETRY_DELAY),
        Outcome::Refused(refusal) if is_final(refusal.reason) => None,
        Outcome::Refused(refusal) => Some(
            refusal
                .retry_after
                .unwrap_or(DEFAULT_RETRY_DELAY)
                .min(MAX_RETRY_DELAY),
        ),
    }
}

/// Returns whether the caller gives up after a refusal for this reason.
fn is_final(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::BadRequest
            | Reason::Unauthorized
            | Reason::NotFound
            | Reason::NotAllowed
            | Reason::TooLarge
            | Reason::CostCap
            | Reason::HolderGone
            | Reason::KeyReused
    )
}

async fn read_response(planned: &PlannedCall, res: Response) -> Outcome {
    let header = |name: &str| res.headers.get(name).unwrap_or_default().to_owned();
    let response = CallResponse {
        request: header("barleypin-request"),
        version: header("barleypin-version"),
        cost_microcents: header("barleypin-cost-microcents").parse().ok(),
        session: res.headers.get("barleypin-session").map(str::to_owned),
        moved: res.headers.get("barleypin-session-moved").is_some(),
        text: String::new(),
    };
    let status = res.status;
    let streamed = header("content-type").starts_with("text/event-stream");
    let body = match res.body.collect(BODY_LIMIT).await {
        Ok(it) => it,
        Err(err) => return Outcome::Failed(err.to_string()),
    };
    if !status.is_success() {
        return parse_refusal(&body);
    }
    if streamed {
        return events::parse_stream(&body, response);
    }
    planned.parse_response(&body, response)
}

fn parse_refusal(body: &[u8]) -> Outcome {
    match serde_json::from_slice::<Problem>(body) {
        Ok(it) => Outcome::Refused(Refusal {
            request: it.request,
            reason: it.reason,
            run: it.run,
            retry_after: it.retry_after_ms.map(Duration::from_millis),
        }),
        // An error response of the service itself, relayed by the host. The service may
        // have executed the call.
        Err(_) => Outcome::Refused(Refusal {
            request: String::new(),
            reason: Reason::UpstreamFailed,
            run: Run::Unknown,
            retry_after: None,
        }),
    }
}
