//! Choice of the host for a try.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http::{Client, Options, Request};
use kernel::Clock;

use crate::caller::Ask;
use crate::workload::Repeat;

const BODY_LIMIT: usize = 1 << 20;

/// The hosts that a caller knows, with a cached response to `GET /v1/hosts`.
pub(crate) struct Hosts {
    clock: Arc<dyn Clock>,
    data_centre: String,
    start: Vec<SocketAddr>,
    kept: Mutex<Option<Kept>>,
}

/// The host and the ticket of a try.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub(crate) address: SocketAddr,
    pub(crate) ticket: String,
}

#[derive(Clone, Debug)]
struct Kept {
    until: Duration,
    hosts: Vec<SocketAddr>,
    /// The host that issued the ticket. Only this host may run an at-most-once call with it.
    minted_by: SocketAddr,
    ticket: String,
}

impl Hosts {
    pub(crate) fn new(clock: Arc<dyn Clock>, start: Vec<SocketAddr>, data_centre: &str) -> Self {
        Self {
            clock,
            data_centre: data_centre.to_owned(),
            start,
            kept: Mutex::new(None),
        }
    }

    /// Returns the preferred host that is not in `avoid`, or the preferred host if all are.
    ///
    /// The first try of an at-most-once call goes to the host that issued the ticket.
    pub(crate) async fn choose(
        &self,
        client: &Client,
        key: &str,
        ask: &Ask,
        avoid: &[SocketAddr],
    ) -> Option<Target> {
        let kept = self.kept_or_asked(client, key, avoid).await?;
        let first = match ask.kind.repeat() {
            Repeat::AtMostOnce if avoid.is_empty() => Some(kept.minted_by),
            _ => kept.hosts.iter().find(|it| !avoid.contains(it)).copied(),
        };
        Some(Target {
            address: first.or(kept.hosts.first().copied())?,
            ticket: kept.ticket,
        })
    }

    /// Drops the cached response if it names or came from the failed host `address`.
    pub(crate) fn forget(&self, address: SocketAddr) {
        let mut kept = self.lock();
        if kept
            .as_ref()
            .is_some_and(|it| it.hosts.contains(&address) || it.minted_by == address)
        {
            *kept = None;
        }
    }

    async fn kept_or_asked(
        &self,
        client: &Client,
        key: &str,
        avoid: &[SocketAddr],
    ) -> Option<Kept> {
        let now = self.clock.now();
        let known = self.lock().clone();
        if let Some(kept) = known.filter(|it| it.until > now) {
            return Some(kept);
        }
        let (tried, fresh): (Vec<SocketAddr>, Vec<SocketAddr>) =
            self.start.iter().partition(|it| avoid.contains(it));
        for host in fresh.into_iter().chain(tried) {
            if let Some(kept) = self.ask(client, key, host).await {
                *self.lock() = Some(kept.clone());
                return Some(kept);
            }
        }
        None
    }

    async fn ask(&self, client: &Client, key: &str, host: SocketAddr) -> Option<Kept> {
        let request = Request::get(format!("/v1/hosts?data_centre={}", self.data_centre))
            .header("authorization", format!("Bearer {key}"));
        let options = Options {
            connect: Duration::from_millis(300),
            first_byte: Duration::from_secs(1),
            total: Duration::from_secs(2),
            retry_policy: http::RetryPolicy::Idempotent,
        };
        let res = client.send(host, request, &options).await.ok()?;
        if !res.status.is_success() {
            return None;
        }
        let answer: gate::hosts::Answer = res.body.parse(BODY_LIMIT).await.ok()?;
        let hosts: Vec<_> = answer
            .hosts
            .iter()
            .filter_map(|it| it.address.parse().ok())
            .collect();
        (!hosts.is_empty()).then_some(Kept {
            until: self.clock.now() + Duration::from_millis(answer.keep_ms),
            hosts,
            minted_by: host,
            ticket: answer.ticket,
        })
    }

    fn lock(&self) -> MutexGuard<'_, Option<Kept>> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
