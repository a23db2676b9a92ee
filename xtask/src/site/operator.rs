//! Client for the operators' API.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use async_std::task;
use error_stack::{Report, ResultExt};
use http::{Client, Method, Options, Request, Status};
use serde::Serialize;
use serde_json::Value;

use crate::error::Error;

/// Maximum number of tries of a change.
const MAX_TRIES: u32 = 20;
/// Delay between two tries.
const RETRY_DELAY: Duration = Duration::from_millis(200);
const BODY_LIMIT: usize = 16 << 20;

/// A client for the operators' API that retries changes at the other hosts.
pub struct Operator {
    client: Client,
    hosts: Vec<SocketAddr>,
    key: String,
}

/// Number of the next change in this process, shared by all operators. The change id must be
/// unique, because a host treats a change with a known id as a retry and does not apply it.
static NEXT_CHANGE: AtomicU64 = AtomicU64::new(0);

impl Operator {
    pub(crate) fn new(client: Client, hosts: Vec<SocketAddr>, key: String) -> Self {
        Self { client, hosts, key }
    }

    /// Writes the entry `kind/name` that was read at revision `read_at`, 0 for a new entry.
    /// Returns the revision of the change.
    ///
    /// # Errors
    /// [`Error::Operator`] if the change is refused, no host accepts it in any try, or the response
    /// has no revision.
    pub async fn put<T: Serialize>(
        &self,
        entry: &str,
        read_at: u64,
        body: &T,
    ) -> Result<u64, Report<Error>> {
        let number = NEXT_CHANGE.fetch_add(1, Ordering::Relaxed);
        let change = format!("chore-{}-{number}", std::process::id());
        let mut last_failure = String::new();
        for host in self.hosts.iter().cycle().take(MAX_TRIES as usize) {
            let request = Request::new(Method::Put, format!("/operator/v1/{entry}"))
                .json(body)
                .header("if-match", read_at.to_string())
                .header("barleypin-change", change.clone());
            match self.send(*host, request).await {
                Ok((Status::Ok, body)) => {
                    return body["revision"]
                        .as_u64()
                        .ok_or_else(|| refused(entry, &body));
                }
                Ok((status, body)) if status.is_client_error() => {
                    return Err(refused(entry, &body));
                }
                Ok((_, body)) => last_failure = body.to_string(),
                Err(err) => last_failure = err.to_string(),
            }
            task::sleep(RETRY_DELAY).await;
        }
        Err(Report::new(Error::Operator).attach(format!("{entry}: {last_failure}")))
    }

    /// Reads a resource from a host. An error status is not an error; a body that is not JSON
    /// becomes `null`.
    ///
    /// # Errors
    /// [`Error::Operator`] if the host does not respond.
    pub async fn get(&self, host: SocketAddr, path: &str) -> Result<Value, Report<Error>> {
        let request = Request::get(format!("/operator/v1/{path}"));
        let (_, body) = self
            .send(host, request)
            .await
            .change_context(Error::Operator)?;
        Ok(body)
    }

    /// Asks a host to drain.
    ///
    /// # Errors
    /// [`Error::Operator`] if the host does not respond or refuses.
    pub async fn drain(&self, host: SocketAddr, name: &str) -> Result<(), Report<Error>> {
        let path = format!("/operator/v1/hosts/{name}/drain");
        let (status, body) = self
            .send(host, Request::new(Method::Post, path))
            .await
            .change_context(Error::Operator)?;
        if status.is_success() {
            Ok(())
        } else {
            Err(refused(name, &body))
        }
    }

    async fn send(
        &self,
        host: SocketAddr,
        request: Request,
    ) -> Result<(Status, Value), http::Error> {
        let request = request.header("authorization", format!("Bearer {}", self.key));
        let res = self.client.send(host, request, &Options::default()).await?;
        let status = res.status;
        let body = res.body.collect(BODY_LIMIT).await?;
        Ok((status, serde_json::from_slice(&body).unwrap_or_default()))
    }
}

fn refused(subject: &str, body: &Value) -> Report<Error> {
    Report::new(Error::Operator).attach(format!("{subject}: {body}"))
}
