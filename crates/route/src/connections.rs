//! The connections of this host to endpoints, and the requests that wait for one.
//!
//! The hosts share the connections that an endpoint accepts. See `docs/design/connections.md`.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::endpoint::Key;

/// The time for which no connection is opened beyond those that were open when the endpoint reset
/// one. Long enough for a queue at the endpoint to shorten, and short enough that a host finds out
/// within a second that the endpoint accepts more again.
const RESET_PAUSE: Duration = Duration::from_millis(200);

/// Counts connections by endpoint, and orders the requests that wait for one.
#[derive(Debug, Default)]
pub struct Connections {
    endpoints: HashMap<Key, Endpoint>,
    tickets: u64,
}

/// The place of a request in the queue for a connection. The smallest is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket {
    priority: u8,
    arrived: Duration,
    number: u64,
}

/// The use of an open connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Use {
    /// It is being opened, or an attempt has it.
    Active,
    /// It is kept for later attempts.
    Idle,
}

/// What to do with a connection whose attempt has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Released {
    /// Keep it; it is counted as idle.
    Keep,
    /// Give it to the request with this ticket; it is still counted as active.
    HandOver(Ticket),
    /// Close it: there are more connections than the share.
    Close,
}

#[derive(Debug, Default)]
struct Endpoint {
    active: u32,
    idle: u32,
    /// This host's share of the connections. `None` if it isn't enforced.
    share: Option<u32>,
    /// A lower limit after the endpoint reset a connection, and its end.
    reset_limit: Option<(u32, Duration)>,
    /// The requests that wait, and until when each does.
    waiting: BTreeMap<Ticket, Duration>,
}

impl Connections {
    /// Sets this host's share of the connections to an endpoint; `None` doesn't limit them.
    pub fn set_share(&mut self, endpoint: Key, share: Option<u32>) {
        match self.endpoints.get_mut(&endpoint) {
            Some(it) => it.share = share,
            None if share.is_some() => {
                self.endpoints.entry(endpoint).or_default().share = share;
            }
            None => {}
        }
    }

    /// Returns this host's share of the connections to an endpoint, if it is enforced.
    #[must_use]
    pub fn share(&self, endpoint: Key) -> Option<u32> {
        self.endpoints.get(&endpoint)?.share
    }

    /// Returns the number of connections that are counted for this use.
    #[must_use]
    pub fn count(&self, endpoint: Key, usage: Use) -> u32 {
        let counted = self.endpoints.get(&endpoint);
        counted.map_or(0, |it| match usage {
            Use::Active => it.active,
            Use::Idle => it.idle,
        })
    }

    /// Returns whether no further connection may be opened.
    #[must_use]
    pub fn is_full(&self, now: Duration, endpoint: Key) -> bool {
        self.endpoints
            .get(&endpoint)
            .is_some_and(|it| !it.has_room(now))
    }

    /// Adds a request to the queue until this time.
    pub fn join(
        &mut self,
        endpoint: Key,
        (priority, arrived): (u8, Duration),
        until: Duration,
    ) -> Ticket {
        let ticket = Ticket {
            priority,
            arrived,
            number: self.tickets,
        };
        self.tickets += 1;
        let it = self.endpoints.entry(endpoint).or_default();
        it.waiting.insert(ticket, until);
        ticket
    }

    /// Removes a request from the queue, if it is still there.
    pub fn leave(&mut self, endpoint: Key, ticket: Ticket) {
        if let Some(it) = self.endpoints.get_mut(&endpoint) {
            it.waiting.remove(&ticket);
        }
        self.remove_unused(endpoint);
    }

    /// Allows the most urgent waiting request to open a connection, which is counted from now on.
    /// Returns `None` if none waits or there is no room. Call it after each change until it does.
    pub fn grant(&mut self, now: Duration, endpoint: Key) -> Option<Ticket> {
        let it = self.endpoints.get_mut(&endpoint)?;
        if !it.has_room(now) {
            return None;
        }
        let ticket = it.next(now)?;
        it.active += 1;
        Some(ticket)
    }

    /// Counts a connection that is opened whether or not there is room.
    pub fn open_uncontrolled(&mut self, endpoint: Key) {
        self.endpoints.entry(endpoint).or_default().active += 1;
    }

    /// Records that an attempt no longer needs its connection, which can be used again.
    pub fn release(&mut self, now: Duration, endpoint: Key) -> Released {
        let Some(it) = self.endpoints.get_mut(&endpoint) else {
            return Released::Close;
        };
        if it.share.is_some_and(|share| it.open() > share) {
            return Released::Close;
        }
        if let Some(ticket) = it.next(now) {
            return Released::HandOver(ticket);
        }
        it.active = it.active.saturating_sub(1);
        it.idle += 1;
        Released::Keep
    }

    /// Records that an attempt uses an idle connection.
    pub fn reuse(&mut self, endpoint: Key) {
        if let Some(it) = self.endpoints.get_mut(&endpoint) {
            it.idle = it.idle.saturating_sub(1);
            it.active += 1;
        }
    }

    /// Records that the endpoint reset a connection that is still counted. For a short time, no
    /// more connections are opened than the others that are open.
    pub fn reset(&mut self, now: Duration, endpoint: Key) {
        if let Some(it) = self.endpoints.get_mut(&endpoint) {
            let others = it.open().saturating_sub(1);
            it.reset_limit = Some((others.max(1), now + RESET_PAUSE));
        }
    }

    /// Records that a connection was closed, or couldn't be opened.
    pub fn close(&mut self, endpoint: Key, usage: Use) {
        if let Some(it) = self.endpoints.get_mut(&endpoint) {
            let count = match usage {
                Use::Active => &mut it.active,
                Use::Idle => &mut it.idle,
            };
            *count = count.saturating_sub(1);
        }
        self.remove_unused(endpoint);
    }

    /// Drops the state of an endpoint without connections and waiting requests, since endpoints
    /// come and go.
    fn remove_unused(&mut self, endpoint: Key) {
        let is_unused = |it: &Endpoint| it.open() == 0 && it.waiting.is_empty();
        if self.endpoints.get(&endpoint).is_some_and(is_unused) {
            self.endpoints.remove(&endpoint);
        }
    }
}

impl Endpoint {
    fn open(&self) -> u32 {
        self.active + self.idle
    }

    fn has_room(&self, now: Duration) -> bool {
        let reset_limit = self.reset_limit.filter(|(_, end)| now < *end);
        let limit = match (self.share, reset_limit) {
            (None, _) => return true,
            (Some(share), None) => share,
            (Some(share), Some((limit, _))) => share.min(limit),
        };
        self.open() < limit
    }

    /// Takes the most urgent request that still waits from the queue.
    fn next(&mut self, now: Duration) -> Option<Ticket> {
        while let Some((ticket, until)) = self.waiting.pop_first() {
            if now < until {
                return Some(ticket);
            }
        }
        None
    }
}
