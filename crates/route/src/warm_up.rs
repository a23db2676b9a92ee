//! How endpoints that have just started are spared.
//!
//! A cold endpoint looks idle to every host at once, and ends under what they send together.
//! No host can ask the others before each request, so a few of them bear each cold endpoint:
//! those that come first for it by a hash of both. Each of these spaces its requests so that
//! all of them stay within what the endpoint takes in any second, whatever their clocks.
//! Hosts that know each other only in part take too many for bearers, in the proportion in
//! which they don't: see `docs/design/shifted.md`.

use std::time::Duration;

use kernel::{HostName, hash};

use crate::endpoint::Process;

/// What a service's endpoints bear after a start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUp {
    /// How long they stay cold.
    pub span: Duration,
    /// Requests a second that one takes meanwhile, from all hosts together.
    pub rate: f64,
}

/// The hosts that share what cold endpoints take.
///
/// All that are known, whether they are heard or not: a host that is cut off from others
/// would else take their shares over while they still use them. What silent hosts leave
/// unused is lost for the seconds that an endpoint is cold.
#[derive(Clone, Debug)]
pub struct Peers {
    own: u64,
    others: Vec<u64>,
}

/// What one host may send to a cold endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Share {
    /// It takes any number.
    Free,
    /// Nothing: others bear it, or this host doesn't know the others yet.
    Nothing,
    /// One request each time this has passed.
    Every(Duration),
}

impl Peers {
    /// This host and all others that it knows.
    pub fn new<'a>(own: &HostName, others: impl Iterator<Item = &'a HostName>) -> Self {
        let place = |it: &HostName| hash::of(it.as_str());
        Self {
            own: place(own),
            others: others.filter(|it| *it != own).map(place).collect(),
        }
    }

    /// This host's share of what a cold endpoint takes.
    pub(crate) fn share(&self, warm_up: WarmUp, endpoint: Process) -> Share {
        /// Requests that leave a second apart may arrive a little closer.
        const MARGIN: f64 = 1.05;
        let hosts = 1.0 + number(self.others.len());
        let bearers = warm_up.rate.floor().clamp(1.0, hosts);
        let own = endpoint.rank(self.own);
        let before = self.others.iter().filter(|it| endpoint.rank(**it) > own);
        if number(before.count()) >= bearers {
            return Share::Nothing;
        }
        let each = (warm_up.rate / bearers).floor();
        let rate = if each < 1.0 { warm_up.rate } else { each };
        let pause = Duration::try_from_secs_f64(MARGIN / rate);
        pause.map_or(Share::Nothing, Share::Every)
    }
}

fn number(count: usize) -> f64 {
    u32::try_from(count).map_or(f64::MAX, f64::from)
}
