//! Client of the operator interface, for several hosts.

mod change;
mod tried;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use config::Faults;
use error_stack::Report;
use futures::future::join_all;
use gate::operator::{History, Refusal, Snapshot, Status};
use gate::problem::{Problem, Reason};
use http::{Method, Options, Pool, Request, Response, RetryPolicy};
use kernel::{HostName, SystemClock};
use serde::de::DeserializeOwned;

use crate::error::{Attempt, Error};

pub(crate) use change::{Change, History as ChangeHistory};
use tried::Tried;

/// Maximum size of a response body; fits a document of thousands of entries.
const MAX_ANSWER: usize = 64 << 20;

/// Timeout of connecting to a host; the next host is tried after it.
const CONNECT: Duration = Duration::from_secs(1);

/// A client of the operator interface.
///
/// Any host can serve a call, so calls go to the hosts in the order given until
/// one gives a usable response. [`Self::statuses`] asks all of them.
pub(crate) struct Client {
    http: http::Client,
    hosts: Vec<SocketAddr>,
    authorization: String,
    options: Options,
}

impl Client {
    /// Creates a client that authenticates to `hosts` with `key` and waits at most
    /// `limit` for each response.
    pub(crate) fn new(hosts: Vec<SocketAddr>, key: &str, limit: Duration) -> Self {
        Self {
            http: http::Client::new(Arc::new(SystemClock::new()), Pool::default()),
            hosts,
            authorization: format!("Bearer {key}"),
            options: Options {
                connect: CONNECT.min(limit),
                first_byte: limit,
                total: limit,
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
    /// All hosts are asked, since only a host's own status reports the revision
    /// in force on it reliably.
    ///
    /// # Errors
    /// Fails if no host responds, or if one refuses the call permanently.
    pub(crate) async fn statuses(&self) -> Result<Vec<Status>, Report<Error>> {
        let request = || Request::get("/operator/v1/status");
        let asked = self.hosts.iter().map(|host| {
            let hosts = std::slice::from_ref(host);
            self.first(hosts, request, from_json)
        });
        let mut statuses = Vec::new();
        let mut attempts = Vec::new();
        for answer in join_all(asked).await {
            match answer {
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

    pub(crate) async fn history(&self, limit: usize) -> Result<History, Report<Error>> {
        self.get(&format!("/operator/v1/history?limit={limit}"))
            .await
    }

    /// Asks a host to drain. Idempotent.
    pub(crate) async fn drain(&self, host: &HostName) -> Result<(), Report<Error>> {
        let target = format!("/operator/v1/hosts/{host}/drain");
        let request = || Request::new(Method::Post, target.clone());
        self.first(&self.hosts, request, |_| Ok(())).await
    }

    async fn get<T: DeserializeOwned>(&self, target: &str) -> Result<T, Report<Error>> {
        self.first(&self.hosts, || Request::get(target), from_json)
            .await
    }

    /// Sends the request to one host after the other and returns the first response
    /// that parses.
    ///
    /// A host that can't be reached, refuses for a transient reason or sends an
    /// invalid response is skipped; a permanent refusal is returned at once.
    async fn first<T>(
        &self,
        hosts: &[SocketAddr],
        request: impl Fn() -> Request,
        parse: impl Fn(&[u8]) -> Result<T, String>,
    ) -> Result<T, Report<Error>> {
        let mut attempts = Vec::new();
        for host in hosts {
            let outcome = match self.send(*host, request()).await {
                Tried::Answered(body) => match parse(&body) {
                    Ok(answer) => return Ok(answer),
                    Err(fault) => format!("not an answer of this protocol: {fault}"),
                },
                Tried::Refused(refusal) if may_differ_elsewhere(&refusal.problem) => {
                    refusal.problem.detail
                }
                Tried::Refused(refusal) => return Err(refused(*refusal).into()),
                Tried::NotSent(outcome) | Tried::InDoubt(outcome) => outcome,
            };
            attempts.push(Attempt {
                host: *host,
                outcome,
            });
        }
        Err(Error::Unreachable(attempts).into())
    }

    async fn send(&self, host: SocketAddr, request: Request) -> Tried {
        let request = request.header("authorization", self.authorization.clone());
        match self.http.send(host, request, &self.options).await {
            Ok(response) => read(response).await,
            Err(http::Error::NotSent(cause)) => Tried::NotSent(format!("not sent: {cause}")),
            Err(http::Error::MaybeSent(cause)) => Tried::InDoubt(format!("no answer: {cause}")),
            Err(err) => Tried::InDoubt(unread(err)),
        }
    }
}

fn from_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, String> {
    serde_json::from_slice(body).map_err(|err| err.to_string())
}

/// Converts a refusal that another host wouldn't decide differently.
fn refused(refusal: Refusal) -> Error {
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
fn may_differ_elsewhere(problem: &Problem) -> bool {
    matches!(
        problem.reason,
        Reason::NotReady | Reason::Leaving | Reason::StoreOut | Reason::Stale | Reason::Overloaded
    )
}

async fn read(response: Response) -> Tried {
    let status = response.status;
    match response.body.collect(MAX_ANSWER).await {
        Ok(body) if status.is_success() => Tried::Answered(body),
        Ok(body) => match serde_json::from_slice(&body) {
            Ok(refusal) => Tried::Refused(Box::new(refusal)),
            Err(_) => Tried::InDoubt(format!("status {status} without a problem document")),
        },
        Err(err) => Tried::InDoubt(unread(err)),
    }
}

fn unread(err: http::Error) -> String {
    match err {
        http::Error::Cut(cause) => format!("answer cut: {cause}"),
        other => other.to_string(),
    }
}
