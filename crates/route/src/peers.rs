//! Division of an endpoint's request rate among hosts.
//!
//! An endpoint that takes few requests looks idle to every host, and is overloaded by what all of
//! them send together. Hosts can't coordinate each request, so rendezvous hashing selects a few
//! hosts for each such endpoint. Each of these spaces its requests so that their sum stays within
//! the endpoint's rate in any second, without synchronized clocks. If hosts know only part of the
//! fleet, too many select themselves, in proportion to the unknown part: see
//! `docs/design/shifted.md`.

use std::time::Duration;

use kernel::{HostName, hash};

use crate::endpoint::ProcessId;

/// The hosts that share the request rates of endpoints.
///
/// Includes all known hosts, even unreachable ones: in a network partition, each side would
/// otherwise take over the other side's shares while those are still in use.
#[derive(Clone, Debug)]
pub struct Peers {
    own: u64,
    others: Vec<u64>,
    /// This host's position in the order of all hashes, from 0.
    position: u64,
}

/// This host's part in the division of an endpoint's request rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Division {
    /// The group of hosts that this host belongs to. Only one group sends at a time.
    pub(crate) group: usize,
    /// The number of groups.
    pub(crate) groups: usize,
    /// The least time between two requests of a host that sends.
    pub(crate) interval: Duration,
}

impl Peers {
    /// Creates the set from this host and all others that it knows.
    pub fn new<'a>(own: &HostName, others: impl Iterator<Item = &'a HostName>) -> Self {
        let hash_of = |it: &HostName| hash::of(it.as_str());
        let others: Vec<_> = others.filter(|it| *it != own).map(hash_of).collect();
        let own = hash_of(own);
        Self {
            own,
            position: others.iter().filter(|it| **it < own).count() as u64,
            others,
        }
    }

    /// Divides a rate in requests per second. As many hosts as requests per second form a group.
    pub(crate) fn divide(&self, rate: f64, endpoint: ProcessId) -> Division {
        /// Tolerance for requests that arrive closer together than they were sent.
        const INTERVAL_MARGIN: f64 = 1.05;
        /// An endpoint that takes hardly any requests gets one at times, so that hosts learn when
        /// it takes more.
        const MAX_INTERVAL: Duration = Duration::from_mins(1);
        let hosts = 1 + self.others.len();
        let may_send = |it: &usize| to_f64(*it) <= rate;
        let senders = (1..=hosts).take_while(may_send).count().max(1);
        // Several senders may each send at both ends of the same second, so each keeps to a whole
        // number of requests per second.
        let rate_per_sender = match senders {
            1 => rate,
            _ => (rate / to_f64(senders)).floor(),
        };
        let interval = Duration::try_from_secs_f64(INTERVAL_MARGIN / rate_per_sender);
        let own = endpoint.rank(self.own);
        let is_before = |it: &&u64| endpoint.rank(**it) > own;
        Division {
            group: self.others.iter().filter(is_before).count() / senders,
            groups: hosts.div_ceil(senders),
            interval: interval.unwrap_or(MAX_INTERVAL).min(MAX_INTERVAL),
        }
    }

    /// Returns this host's part of an endpoint's slots. The parts of all hosts together are the
    /// slots: what doesn't divide evenly goes to hosts that follow each other in the order of
    /// their hashes, from a place that depends on the endpoint. Unlike a rank, this takes no time
    /// that grows with the number of hosts.
    pub(crate) fn slot_share(&self, slots: u32, endpoint: ProcessId) -> u32 {
        let hosts = 1 + self.others.len() as u64;
        let slots = u64::from(slots);
        let distance = (self.position + endpoint.rank(0) % hosts) % hosts;
        let share = slots / hosts + u64::from(distance < slots % hosts);
        u32::try_from(share).unwrap_or(u32::MAX)
    }
}

fn to_f64(count: usize) -> f64 {
    u32::try_from(count).map_or(f64::MAX, f64::from)
}
