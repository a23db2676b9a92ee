//! A client that follows the caller protocol.
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

pub use events::read;
pub use record::{Answer, Call, End, Refusal, Try};
pub use request::Ask;

/// Maximum number of tries of one call.
const MAX_TRIES: usize = 6;
/// Delay before the next try where the refusal names none.
const PAUSE: Duration = Duration::from_millis(150);
/// Maximum delay between two tries.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);
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
    /// Creates a caller that asks the hosts at `start` for the list of hosts.
    #[must_use]
    pub fn new(
        clock: Arc<dyn Clock>,
        client: Client,
        start: Vec<SocketAddr>,
        data_centre: &str,
        key: String,
    ) -> Self {
        let options = Options {
            connect: Duration::from_millis(500),
            first_byte: Duration::from_secs(6),
            total: Duration::from_secs(12),
            retry_policy: RetryPolicy::Never,
        };
        let hosts = Hosts::new(Arc::clone(&clock), start, data_centre);
        Self {
            clock,
            client,
            hosts,
            key,
            options,
        }
    }

    /// Makes one call, with retries.
    pub async fn call(&self, ask: &Ask) -> Call {
        let started = self.clock.now();
        let mut tries: Vec<Try> = Vec::new();
        let mut ticket = None;
        while tries.len() < MAX_TRIES {
            let avoid: Vec<_> = tries.iter().map(|it| it.host).collect();
            let Some(target) = self
                .hosts
                .choose(&self.client, &self.key, ask, &avoid)
                .await
            else {
                task::sleep(PAUSE).await;
                tries.push(Try::nowhere());
                continue;
            };
            let ticket = ticket.get_or_insert(target.ticket);
            let request = ask.request(&self.key, ticket);
            let res = self
                .client
                .send(target.address, request, &self.options)
                .await;
            let end = match res {
                Ok(res) => outcome(ask, res).await,
                Err(err) => End::Failed(err.to_string()),
            };
            if matches!(end, End::Failed(_)) {
                self.hosts.forget(target.address);
            }
            let pause = pause(&end);
            tries.push(Try {
                host: target.address,
                end,
            });
            match pause {
                Some(pause) => task::sleep(pause).await,
                None => break,
            }
        }
        Call {
            name: ask.name.clone(),
            kind: ask.kind,
            customer: ask.customer,
            tries,
            took: self.clock.now().saturating_sub(started),
        }
    }
}

/// Returns the delay before the next try, or `None` if the call is not retried.
fn pause(end: &End) -> Option<Duration> {
    match end {
        End::Answered(_) => None,
        End::Failed(_) => Some(PAUSE),
        End::Refused(refusal) if is_final(refusal.reason) => None,
        End::Refused(refusal) => Some(refusal.retry_after.unwrap_or(PAUSE).min(LONGEST_PAUSE)),
    }
}

/// Returns whether a retry after a refusal for this reason can't succeed.
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

async fn outcome(ask: &Ask, res: Response) -> End {
    let header = |name: &str| res.headers.get(name).unwrap_or_default().to_owned();
    let answer = Answer {
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
        Err(err) => return End::Failed(err.to_string()),
    };
    if !status.is_success() {
        return refusal(&body);
    }
    if streamed {
        return events::read(&body, answer);
    }
    ask.read(&body, answer)
}

fn refusal(body: &[u8]) -> End {
    match serde_json::from_slice::<Problem>(body) {
        Ok(it) => End::Refused(Refusal {
            request: it.request,
            reason: it.reason,
            run: it.run,
            retry_after: it.retry_after_ms.map(Duration::from_millis),
        }),
        // An error response of the service itself, relayed by the host. The service may
        // have executed the call.
        Err(_) => End::Refused(Refusal {
            request: String::new(),
            reason: Reason::UpstreamFailed,
            run: Run::Unknown,
            retry_after: None,
        }),
    }
}
