//! An operator's changes, over the operators' protocol.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use async_std::task;
use error_stack::{Report, ResultExt};
use http::{Client, Method, Options, Request, Status};
use serde::Serialize;
use serde_json::Value;

use crate::error::Error;

const TRIES: u32 = 20;
const PAUSE: Duration = Duration::from_millis(200);
const BODY_LIMIT: usize = 16 << 20;

/// An operator who repeats a change after a lost answer, at any host.
pub struct Operator {
    client: Client,
    hosts: Vec<SocketAddr>,
    key: String,
}

/// Every change of this process has a number of its own, whichever operator makes
/// it: a host takes the same name for a repeat and answers without a change.
static CHANGES: AtomicU64 = AtomicU64::new(0);

impl Operator {
    pub(crate) fn new(client: Client, hosts: Vec<SocketAddr>, key: String) -> Self {
        Self { client, hosts, key }
    }

    /// Puts an entry, `kind/name`, that was read at a revision; 0 for a new one.
    /// Gives the revision that the change made.
    ///
    /// # Errors
    /// When the change is refused for good, or no host takes it in time.
    pub async fn put<T: Serialize>(
        &self,
        entry: &str,
        read_at: u64,
        body: &T,
    ) -> Result<u64, Report<Error>> {
        let number = CHANGES.fetch_add(1, Ordering::Relaxed);
        let change = format!("chore-{}-{number}", std::process::id());
        let mut last = String::new();
        for host in self.hosts.iter().cycle().take(TRIES as usize) {
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
                Ok((_, body)) => last = body.to_string(),
                Err(err) => last = err.to_string(),
            }
            task::sleep(PAUSE).await;
        }
        Err(Report::new(Error::Operator).attach(format!("{entry}: {last}")))
    }

    /// Reads from a host.
    ///
    /// # Errors
    /// When the host does not answer as agreed.
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
    /// When no host takes the order.
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

fn refused(what: &str, body: &Value) -> Report<Error> {
    Report::new(Error::Operator).attach(format!("{what}: {body}"))
}
