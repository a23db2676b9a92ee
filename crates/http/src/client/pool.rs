//! Idle connections.

use std::collections::HashMap;
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
}

impl Default for Pool {
    fn default() -> Self {
        Self {
            max_idle: 256,
            max_age: Duration::from_secs(20),
        }
    }
}

pub(super) struct Idle {
    clock: Arc<dyn Clock>,
    pool: Pool,
    shelves: Mutex<Shelves>,
}

#[derive(Default)]
struct Shelves {
    by_address: HashMap<SocketAddr, Vec<Entry>>,
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
    pub(super) async fn take(&self, to: SocketAddr) -> Option<Conn> {
        while let Some(conn) = self.pop(to) {
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
        if entries.len() < self.pool.max_idle {
            entries.push(Entry { conn, since: now });
        }
    }

    fn pop(&self, to: SocketAddr) -> Option<Conn> {
        let now = self.clock.now();
        let mut shelves = self.shelves();
        let entry = shelves.by_address.get_mut(&to)?.pop()?;
        (now.saturating_sub(entry.since) < self.pool.max_age).then_some(entry.conn)
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
