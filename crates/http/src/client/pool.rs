//! Pool of idle connections.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use kernel::Clock;

use crate::conn::Conn;

/// Limits of a client's connection pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pool {
    /// Maximum number of idle connections for each address.
    pub max_idle: usize,
    /// Maximum age of an idle connection. Should be shorter than the idle timeout of the peers.
    pub max_age: Duration,
    /// Maximum age of an idle connection for a request that must not be sent twice. Should be
    /// shorter, by more than the network latency, than the time for which peers keep a connection
    /// open after a response.
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

/// The idle connections that a request may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Need {
    /// Any connection that looks open. If the peer has just closed it, the request is sent again.
    Open,
    /// Only a recently used one, which the peer can't have begun to close.
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

    /// Removes and returns the most recently used connection to `to` that is usable, if any.
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

    /// Adds `conn` for later requests to `to`.
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
        // The newest is last: if it is too old, all are. The caller will open a new connection,
        // so one old connection is dropped.
        if let Some(entry) = entries.pop_back_if(|it| now.saturating_sub(it.since) < max_age) {
            return Some(entry.conn);
        }
        entries.pop_front();
        None
    }

    /// Closes expired connections to all addresses. Those to addresses that are no longer used
    /// would otherwise stay open forever.
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
