//! Client of the operator interface, for several hosts.

mod change;
mod explained;
mod outcome;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use config::Faults;
use error_stack::Report;
use futures::future::join_all;
use gate::operator::{History, Refusal, Snapshot, Status};
use gate::problem::{Problem, Reason};
use http::{Method, Options, PoolLimits, Request, Response, RetryPolicy};
use kernel::{HostName, SystemClock};
use serde::de::DeserializeOwned;

use crate::error::{Error, FailedAttempt};

pub(crate) use change::{Change, Submission};
pub(crate) use explained::{Answer, Explained};
use outcome::AttemptOutcome;

/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// The header that carries the customer's API key to relaying hosts.
const CUSTOMER_KEY: &str = "Barleypin-Customer-Key";

/// Timeout of connecting to a host; the next host is tried after it.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A client of the operator interface.
///
/// Any host can serve a call, so calls go to the hosts in the order given until
/// one gives a usable response or refuses permanently. [`Self::statuses`] asks all of
/// them, and [`Self::change`] retries in several rounds.
pub(crate) struct Client {
    http: http::Client,
    hosts: Vec<SocketAddr>,
    authorization: String,
    options: Options,
}

impl Client {
    /// Creates a client that authenticates to `hosts` with `key` and waits at most
    /// `timeout` for each response.
    pub(crate) fn new(hosts: Vec<SocketAddr>, key: &str, timeout: Duration) -> Self {
        Self {
            http: http::Client::new(Arc::new(SystemClock::new()), PoolLimits::default()),
            hosts,
            authorization: format!("Bearer {key}"),
            options: Options {
                connect: CONNECT_TIMEOUT.min(timeout),
                first_byte: timeout,
                total: timeout,
                retry_policy: RetryPolicy::Idempotent,
            },
        }
    }

    pub(crate) async fn document(&self) -> Result<Snapshot, Report<Error>> {
        self.get("/operator/v1/document").await
    }

    /// Returns the status from each host that responds, in the order given; at
    /// least one.
    ///
    /// All hosts are asked, since a host knows only its own revision in force and
    /// reports zero for its peers.
    ///
    /// # Errors
    /// Fails if no host responds, or if one refuses the call permanently.
    pub(crate) async fn statuses(&self) -> Result<Vec<Status>, Report<Error>> {
        let request = || Request::get("/operator/v1/status");
        let calls = self.hosts.iter().map(|host| {
            let hosts = std::slice::from_ref(host);
            self.first_response(hosts, request, parse_json)
        });
        let mut statuses = Vec::new();
        let mut attempts = Vec::new();
        for response in join_all(calls).await {
            match response {
                Ok(status) => statuses.push(status),
                Err(report) => match report.current_context() {
                    Error::Unreachable(failed) => attempts.extend_from_slice(failed),
                    _ => return Err(report),
                },
            }
        }
        if statuses.is_empty() {
            return Err(Error::Unreachable(attempts).into());
        }
        Ok(statuses)
    }

    /// Asks each host where it would send a request, and returns what each responds, in the order
    /// given; at least one responds.
    ///
    /// # Errors
    /// Fails if no host responds, or if one refuses the call permanently.
    pub(crate) async fn explanations(
        &self,
        target: &str,
        customer_key: Option<&str>,
    ) -> Result<Vec<Explained>, Report<Error>> {
        let request = || match customer_key {
            Some(key) => Request::get(target).header(CUSTOMER_KEY, key),
            None => Request::get(target),
        };
        let calls = self.hosts.iter().map(|host| {
            let hosts = std::slice::from_ref(host);
            self.first_response(hosts, request, parse_json)
        });
        let mut explained = Vec::new();
        for response in join_all(calls).await {
            explained.push(match response {
                Ok(answer) => Explained::Answer(answer),
                Err(report) => match report.current_context() {
                    Error::Unreachable(failed) => Explained::Failed(failed.clone()),
                    _ => return Err(report),
                },
            });
        }
        let failed = explained.iter().filter_map(Explained::failed);
        let failed: Vec<_> = failed.flatten().cloned().collect();
        if explained.iter().all(|it| it.answer().is_none()) {
            return Err(Error::Unreachable(failed).into());
        }
        Ok(explained)
    }

    pub(crate) async fn history(&self, limit: usize) -> Result<History, Report<Error>> {
        self.get(&format!("/operator/v1/history?limit={limit}"))
            .await
    }

    /// Asks a host to drain. Idempotent.
    pub(crate) async fn drain(&self, host: &HostName) -> Result<(), Report<Error>> {
        let target = format!("/operator/v1/hosts/{host}/drain");
        let request = || Request::new(Method::Post, target.clone());
        self.first_response(&self.hosts, request, |_| Ok(())).await
    }

    async fn get<T: DeserializeOwned>(&self, target: &str) -> Result<T, Report<Error>> {
        self.first_response(&self.hosts, || Request::get(target), parse_json)
            .await
    }

    /// Sends the request to one host after the other and returns the first success
    /// response that `parse` accepts.
    ///
    /// A host that can't be reached, refuses for a transient reason or sends an
    /// invalid response is skipped; a permanent refusal is returned at once.
    async fn first_response<T>(
        &self,
        hosts: &[SocketAddr],
        request: impl Fn() -> Request,
        parse: impl Fn(&[u8]) -> Result<T, String>,
    ) -> Result<T, Report<Error>> {
        let mut attempts = Vec::new();
        for host in hosts {
            let reason = match self.send(*host, request()).await {
                AttemptOutcome::Succeeded(body) => match parse(&body) {
                    Ok(response) => return Ok(response),
                    Err(fault) => format!("invalid response: {fault}"),
                },
                AttemptOutcome::Refused(refusal) if is_retryable(&refusal.problem) => {
                    refusal.problem.detail
                }
                AttemptOutcome::Refused(refusal) => return Err(refusal_error(*refusal).into()),
                AttemptOutcome::NotSent(reason) | AttemptOutcome::InDoubt(reason) => reason,
            };
            attempts.push(FailedAttempt {
                host: *host,
                reason,
            });
        }
        Err(Error::Unreachable(attempts).into())
    }

    async fn send(&self, host: SocketAddr, request: Request) -> AttemptOutcome {
        let request = request.header("authorization", self.authorization.clone());
        match self.http.send(host, request, &self.options).await {
            Ok(response) => read_response(response).await,
            Err(http::Error::NotSent(cause)) => {
                AttemptOutcome::NotSent(format!("not sent: {cause}"))
            }
            Err(http::Error::MaybeSent(cause)) => {
                AttemptOutcome::InDoubt(format!("no response: {cause}"))
            }
            Err(err) => AttemptOutcome::InDoubt(describe_read_error(err)),
        }
    }
}

fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, String> {
    serde_json::from_slice(body).map_err(|err| err.to_string())
}

/// Converts a refusal to its faults if it lists any, else to its problem.
fn refusal_error(refusal: Refusal) -> Error {
    let Refusal {
        problem, faults, ..
    } = refusal;
    if faults.is_empty() {
        Error::Refused(Box::new(problem))
    } else {
        Error::Faults(Faults(faults.0))
    }
}

/// Returns whether another host, or this one later, may accept the same request.
fn is_retryable(problem: &Problem) -> bool {
    matches!(
        problem.reason,
        Reason::NotReady | Reason::Leaving | Reason::StoreOut | Reason::Stale | Reason::Overloaded
    )
}

async fn read_response(response: Response) -> AttemptOutcome {
    let status = response.status;
    match response.body.collect(MAX_RESPONSE_BYTES).await {
        Ok(body) if status.is_success() => AttemptOutcome::Succeeded(body),
        Ok(body) => match serde_json::from_slice(&body) {
            Ok(refusal) => AttemptOutcome::Refused(Box::new(refusal)),
            Err(_) => {
                AttemptOutcome::InDoubt(format!("status {status} without a problem document"))
            }
        },
        Err(err) => AttemptOutcome::InDoubt(describe_read_error(err)),
    }
}

fn describe_read_error(err: http::Error) -> String {
    match err {
        http::Error::Cut(cause) => format!("answer cut: {cause}"),
        other => other.to_string(),
    }
}
