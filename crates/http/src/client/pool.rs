//! Pool of idle connections.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use kernel::Clock;

use crate::conn::Conn;

/// Limits of a client's connection pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolLimits {
    /// Maximum number of idle connections for each address.
    pub max_idle: usize,
    /// Time without use after which a connection is no longer used for a request. Should be shorter
    /// than the idle timeout of the peers.
    pub max_idle_time: Duration,
    /// Time without use after which a connection is no longer used for a request that can't be sent
    /// again, either because it isn't idempotent or because its body isn't in memory. Should be
    /// shorter, by more than the network latency, than the time for which peers keep a connection
    /// open after a response.
    pub max_idle_time_at_most_once: Duration,
}

impl Default for PoolLimits {
    fn default() -> Self {
        Self {
            max_idle: 256,
            max_idle_time: Duration::from_secs(20),
            max_idle_time_at_most_once: Duration::from_millis(500),
        }
    }
}

/// The idle connections that a request may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reuse {
    /// Any connection that looks open and hasn't expired. If the peer has just closed it, the
    /// request is sent again.
    AnyOpen,
    /// Only a recently used one, which the peer shouldn't have begun to close.
    Recent,
}

pub(super) struct ConnPool {
    clock: Arc<dyn Clock>,
    limits: PoolLimits,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    by_address: HashMap<SocketAddr, VecDeque<Entry>>,
    last_sweep: Duration,
}

struct Entry {
    conn: Conn,
    idle_since: Duration,
}

impl ConnPool {
    pub(super) fn new(clock: Arc<dyn Clock>, limits: PoolLimits) -> Self {
        Self {
            clock,
            limits,
            state: Mutex::default(),
        }
    }

    /// Removes and returns the most recently used connection to `to` that is usable, if any.
    pub(super) async fn take(&self, to: SocketAddr, reuse: Reuse) -> Option<Conn> {
        let max_idle_time = match reuse {
            Reuse::AnyOpen => self.limits.max_idle_time,
            Reuse::Recent => self
                .limits
                .max_idle_time_at_most_once
                .min(self.limits.max_idle_time),
        };
        while let Some(conn) = self.pop(to, max_idle_time) {
            if conn.is_idle().await {
                return Some(conn);
            }
        }
        None
    }

    /// Adds `conn` for later requests to `to`.
    pub(super) fn put(&self, to: SocketAddr, conn: Conn) {
        let now = self.clock.now();
        let mut state = self.state();
        self.sweep(&mut state, now);
        let entries = state.by_address.entry(to).or_default();
        entries.push_back(Entry {
            conn,
            idle_since: now,
        });
        if entries.len() > self.limits.max_idle {
            entries.pop_front();
        }
    }

    fn pop(&self, to: SocketAddr, max_idle_time: Duration) -> Option<Conn> {
        let now = self.clock.now();
        let mut state = self.state();
        let entries = state.by_address.get_mut(&to)?;
        // The most recently used connection is last: if it has been idle for too long, all have.
        // The caller opens a new connection, which may be added here later, so the one idle longest
        // is dropped to keep the number constant.
        if let Some(entry) =
            entries.pop_back_if(|it| now.saturating_sub(it.idle_since) < max_idle_time)
        {
            return Some(entry.conn);
        }
        entries.pop_front();
        None
    }

    /// Closes expired connections to all addresses, at most once in `max_idle_time`. Called
    /// when a connection is added. Those to addresses that are no longer used would otherwise stay
    /// open.
    fn sweep(&self, state: &mut State, now: Duration) {
        if now.saturating_sub(state.last_sweep) < self.limits.max_idle_time {
            return;
        }
        state.last_sweep = now;
        state.by_address.retain(|_, entries| {
            entries.retain(|it| now.saturating_sub(it.idle_since) < self.limits.max_idle_time);
            !entries.is_empty()
        });
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
