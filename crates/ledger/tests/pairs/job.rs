//! Jobs of callers, and their retries.

use std::time::Duration;

use kernel::Customer;
use ledger::{Arrival, Fingerprint, RetryPolicy, Ticket, Via};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::sim::{World, mint};

/// Validity of a ticket. Some callers retry for longer than this.
const TICKET_VALIDITY: Duration = Duration::from_secs(25);

/// A request that a caller wants to be executed.
#[derive(Clone, Debug)]
pub(super) struct Job {
    idx: usize,
    kind: Kind,
    ticket: Option<Ticket>,
    pub(super) arrivals: u32,
    pub(super) done: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Keyless,
    Unticketed(RetryPolicy),
    Ticketed(RetryPolicy),
}

impl Job {
    pub(super) fn draw(rng: &mut Pcg64Mcg, idx: usize) -> Self {
        let kind = match rng.random_range(0..20) {
            0..3 => Kind::Keyless,
            3..8 => Kind::Unticketed(RetryPolicy::AtMostOnce),
            8..11 => Kind::Unticketed(RetryPolicy::Idempotent),
            11..16 => Kind::Ticketed(RetryPolicy::AtMostOnce),
            _ => Kind::Ticketed(RetryPolicy::Idempotent),
        };
        Self {
            idx,
            kind,
            ticket: None,
            arrivals: 0,
            done: false,
        }
    }

    pub(super) fn is_keyed(&self) -> bool {
        self.kind != Kind::Keyless
    }

    /// Gets a ticket from any host and keeps it for retries.
    pub(super) fn get_ticket(&mut self, rng: &mut Pcg64Mcg, world: &World, hosts: &[usize]) {
        if matches!(self.kind, Kind::Ticketed(_)) {
            let host = hosts[rng.random_range(0..hosts.len())];
            let expires = world.now + TICKET_VALIDITY;
            self.ticket = Some(mint(&world.hosts[host], expires));
        }
    }

    pub(super) fn next_arrival(&mut self) -> Arrival {
        let request = format!("{}.{}", self.idx, self.arrivals);
        self.arrivals += 1;
        let (key, retry_policy) = match self.kind {
            Kind::Keyless => (None, RetryPolicy::Idempotent),
            Kind::Unticketed(retry_policy) | Kind::Ticketed(retry_policy) => {
                (Some(format!("k{}", self.idx).into()), retry_policy)
            }
        };
        Arrival {
            request: request.into(),
            customer: Customer::from("kivuli"),
            key,
            ticket: self.ticket,
            fingerprint: Fingerprint(1),
            retry_policy,
            via: Via::Caller,
        }
    }
}

/// Returns the index of the job that a request belongs to.
pub(super) fn index(request: &str) -> usize {
    let (idx, _) = request
        .split_once('.')
        .expect("request IDs start with the job index");
    idx.parse().expect("the job index is a number")
}
