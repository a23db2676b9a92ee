//! Limits on the rate of requests to endpoints that have just started.
//!
//! A cold endpoint looks idle to every host, and exits under the load that all of them send
//! together. Hosts can't coordinate each request, so rendezvous hashing selects a few hosts for
//! each cold endpoint. Each of these spaces its requests so that their sum stays within the
//! endpoint's rate in any second, without synchronized clocks. If hosts know only part of the
//! fleet, too many select themselves, in proportion to the unknown part: see
//! `docs/design/shifted.md`.

use std::time::Duration;

use kernel::{HostName, hash};

use crate::endpoint::ProcessId;

/// The warm-up limits of a service's endpoints.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUp {
    /// The duration of a full warm-up. Endpoints whose data centre is back in use count as cold for
    /// this time; the others report their own remaining time.
    pub span: Duration,
    /// Requests per second that a cold endpoint takes from all hosts together.
    pub rate: f64,
}

/// The hosts that share the request rate of cold endpoints.
///
/// Includes all known hosts, even unreachable ones: in a network partition, each side would
/// otherwise take over the other side's shares while those are still in use. The shares of silent
/// hosts are unused while an endpoint is cold.
#[derive(Clone, Debug)]
pub struct Peers {
    own: u64,
    others: Vec<u64>,
}

/// The request rate that one host may use at a cold endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Share {
    /// The endpoint hasn't been cold, or its service has no warm-up limits.
    Unlimited,
    /// Zero: other hosts are selected, or this host doesn't know the others yet.
    Zero,
    /// One request per interval.
    OnePer(Duration),
}

impl Peers {
    /// Creates the set from this host and all others that it knows.
    pub fn new<'a>(own: &HostName, others: impl Iterator<Item = &'a HostName>) -> Self {
        let hash_of = |it: &HostName| hash::of(it.as_str());
        Self {
            own: hash_of(own),
            others: others.filter(|it| *it != own).map(hash_of).collect(),
        }
    }

    /// Returns this host's share of a cold endpoint's rate.
    pub(crate) fn share(&self, warm_up: WarmUp, endpoint: ProcessId) -> Share {
        /// Tolerance for requests that arrive closer together than they were sent.
        const INTERVAL_MARGIN: f64 = 1.05;
        let hosts = 1.0 + to_f64(self.others.len());
        let sender_count = warm_up.rate.floor().clamp(1.0, hosts);
        let own = endpoint.rank(self.own);
        let ranked_before = self.others.iter().filter(|it| endpoint.rank(**it) > own);
        if to_f64(ranked_before.count()) >= sender_count {
            return Share::Zero;
        }
        let rate_per_sender = (warm_up.rate / sender_count).floor();
        let rate = if rate_per_sender < 1.0 {
            warm_up.rate
        } else {
            rate_per_sender
        };
        let interval = Duration::try_from_secs_f64(INTERVAL_MARGIN / rate);
        interval.map_or(Share::Zero, Share::OnePer)
    }
}

fn to_f64(count: usize) -> f64 {
    u32::try_from(count).map_or(f64::MAX, f64::from)
}
