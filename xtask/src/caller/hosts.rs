//! Choice of the host for a try.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http::{Client, Options, Request};
use kernel::Clock;

use crate::caller::PlannedCall;
use crate::workload::CallRetryPolicy;

const BODY_LIMIT: usize = 1 << 20;

/// The hosts that a caller knows, with a cached response to `GET /v1/hosts`.
pub(crate) struct Hosts {
    clock: Arc<dyn Clock>,
    data_centre: String,
    initial_addresses: Vec<SocketAddr>,
    cached: Mutex<Option<CachedHosts>>,
}

/// The host and the ticket of a try.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub(crate) address: SocketAddr,
    pub(crate) ticket: String,
}

#[derive(Clone, Debug)]
struct CachedHosts {
    expires_at: Duration,
    /// The hosts in the order of preference that the issuer sent.
    hosts: Vec<SocketAddr>,
    /// The host that issued the ticket. Only this host may run an at-most-once call with it.
    issuer: SocketAddr,
    /// The ticket that all calls share until `expires_at`.
    ticket: String,
}

impl Hosts {
    pub(crate) fn new(
        clock: Arc<dyn Clock>,
        initial_addresses: Vec<SocketAddr>,
        data_centre: &str,
    ) -> Self {
        Self {
            clock,
            data_centre: data_centre.to_owned(),
            initial_addresses,
            cached: Mutex::new(None),
        }
    }

    /// Returns the first host of the list that is not in `avoid`, or the first host of all if every
    /// one is in it. Returns `None` if no host sent a list.
    ///
    /// The first try of an at-most-once call goes to the host that issued the ticket.
    pub(crate) async fn choose(
        &self,
        client: &Client,
        key: &str,
        planned: &PlannedCall,
        avoid: &[SocketAddr],
    ) -> Option<Target> {
        let cached = self.cached_or_fetched(client, key, avoid).await?;
        let chosen = match planned.kind.retry_policy() {
            CallRetryPolicy::AtMostOnce if avoid.is_empty() => Some(cached.issuer),
            _ => cached.hosts.iter().find(|it| !avoid.contains(it)).copied(),
        };
        Some(Target {
            address: chosen.or(cached.hosts.first().copied())?,
            ticket: cached.ticket,
        })
    }

    /// Drops the cached response if it names or came from the failed host `address`.
    pub(crate) fn invalidate(&self, address: SocketAddr) {
        let mut cached = self.lock();
        if cached
            .as_ref()
            .is_some_and(|it| it.hosts.contains(&address) || it.issuer == address)
        {
            *cached = None;
        }
    }

    async fn cached_or_fetched(
        &self,
        client: &Client,
        key: &str,
        avoid: &[SocketAddr],
    ) -> Option<CachedHosts> {
        let now = self.clock.now();
        let known = self.lock().clone();
        if let Some(cached) = known.filter(|it| it.expires_at > now) {
            return Some(cached);
        }
        let (tried, fresh): (Vec<SocketAddr>, Vec<SocketAddr>) = self
            .initial_addresses
            .iter()
            .partition(|it| avoid.contains(it));
        for host in fresh.into_iter().chain(tried) {
            if let Some(cached) = self.fetch(client, key, host).await {
                *self.lock() = Some(cached.clone());
                return Some(cached);
            }
        }
        None
    }

    async fn fetch(&self, client: &Client, key: &str, host: SocketAddr) -> Option<CachedHosts> {
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
        let response: gate::hosts::Answer = res.body.parse(BODY_LIMIT).await.ok()?;
        let hosts: Vec<_> = response
            .hosts
            .iter()
            .filter_map(|it| it.address.parse().ok())
            .collect();
        (!hosts.is_empty()).then_some(CachedHosts {
            expires_at: self.clock.now() + Duration::from_millis(response.keep_ms),
            hosts,
            issuer: host,
            ticket: response.ticket,
        })
    }

    fn lock(&self) -> MutexGuard<'_, Option<CachedHosts>> {
        self.cached.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
