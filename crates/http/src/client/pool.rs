//! Idle connections.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use kernel::Clock;

use crate::conn::Conn;

/// How many idle connections a client keeps, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pool {
    /// Idle connections kept for one address.
    pub max_idle: usize,
    /// Time after which an idle connection is closed. Shorter than the time
    /// after which peers close theirs, so that few are found closed.
    pub max_age: Duration,
    /// Time after which a connection is too old for a request that may reach
    /// its peer only once. Shorter than the time for which peers promise to
    /// keep a connection after an answer, with room for the way there.
    pub warm: Duration,
}

impl Default for Pool {
    fn default() -> Self {
        Self {
            max_idle: 256,
            max_age: Duration::from_secs(20),
            warm: Duration::from_millis(500),
        }
    }
}

/// How sure a request has to be that its connection is still open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Need {
    /// Its peer hasn't closed it as far as this host knows: a request that is
    /// lost to a close that is on its way is sent again.
    Open,
    /// It was just used, so that no close is on its way either.
    Warm,
}

pub(super) struct Idle {
    clock: Arc<dyn Clock>,
    pool: Pool,
    shelves: Mutex<Shelves>,
}

#[derive(Default)]
struct Shelves {
    by_address: HashMap<SocketAddr, VecDeque<Entry>>,
    swept: Duration,
}

struct Entry {
    conn: Conn,
    since: Duration,
}

impl Idle {
    pub(super) fn new(clock: Arc<dyn Clock>, pool: Pool) -> Self {
        Self {
            clock,
            pool,
            shelves: Mutex::default(),
        }
    }

    /// The connection to `to` that was used last, if a fit one is there.
    pub(super) async fn take(&self, to: SocketAddr, need: Need) -> Option<Conn> {
        let max_age = match need {
            Need::Open => self.pool.max_age,
            Need::Warm => self.pool.warm.min(self.pool.max_age),
        };
        while let Some(conn) = self.pop(to, max_age) {
            if conn.is_idle().await {
                return Some(conn);
            }
        }
        None
    }

    /// Keeps `conn` for the next request to `to`.
    pub(super) fn put(&self, to: SocketAddr, conn: Conn) {
        let now = self.clock.now();
        let mut shelves = self.shelves();
        self.sweep(&mut shelves, now);
        let entries = shelves.by_address.entry(to).or_default();
        entries.push_back(Entry { conn, since: now });
        if entries.len() > self.pool.max_idle {
            entries.pop_front();
        }
    }

    fn pop(&self, to: SocketAddr, max_age: Duration) -> Option<Conn> {
        let now = self.clock.now();
        let mut shelves = self.shelves();
        let entries = shelves.by_address.get_mut(&to)?;
        // The newest is last: when it is too old, all are, and a fresh one
        // will take the place of the oldest.
        if let Some(entry) = entries.pop_back_if(|it| now.saturating_sub(it.since) < max_age) {
            return Some(entry.conn);
        }
        entries.pop_front();
        None
    }

    /// Closes what is too old, also for addresses that nobody asks for any
    /// more: hosts come and go, and their connections would stay for good.
    fn sweep(&self, shelves: &mut Shelves, now: Duration) {
        if now.saturating_sub(shelves.swept) < self.pool.max_age {
            return;
        }
        shelves.swept = now;
        shelves.by_address.retain(|_, entries| {
            entries.retain(|it| now.saturating_sub(it.since) < self.pool.max_age);
            !entries.is_empty()
        });
    }

    fn shelves(&self) -> MutexGuard<'_, Shelves> {
        self.shelves.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
