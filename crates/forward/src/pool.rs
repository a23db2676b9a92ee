//! The pool of idle connections to endpoints.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use route::endpoint::Key;

use crate::conn::Conn;
use crate::connections::{ConnectionControl, release};

/// The maximum number of idle connections to one endpoint where the share isn't enforced. The hosts
/// share the connections that an endpoint accepts, and idle ones of this host are unavailable to
/// the others.
const MAX_IDLE_PER_ENDPOINT: usize = 8;
/// Subtracted from an endpoint's keep-alive time, which is in whole seconds and doesn't
/// account for the time that a request takes to arrive.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(500);

/// Idle connections to endpoints. A restarted endpoint has a new key, so the connections of its
/// earlier process aren't used for it.
#[derive(Default)]
pub(crate) struct Pool {
    idle: RefCell<HashMap<Key, Vec<Idle>>>,
}

struct Idle {
    conn: Conn,
    since: Duration,
    expires: Duration,
}

impl Pool {
    /// Takes the most recently used connection, unless it has been idle for longer than
    /// `max_idle`.
    pub(crate) fn take(&self, now: Duration, endpoint: Key, max_idle: Duration) -> Option<Conn> {
        let mut idle = self.idle.borrow_mut();
        let conns = idle.get_mut(&endpoint)?;
        while let Some(mut it) = conns.pop() {
            if now >= it.expires || !it.conn.is_reusable() {
                continue;
            }
            if now.saturating_sub(it.since) > max_idle {
                conns.push(it);
                return None;
            }
            if let Some(lease) = it.conn.lease() {
                lease.reuse();
            }
            return Some(it.conn);
        }
        None
    }

    /// Closes the least recently used connection. Returns whether there was one.
    pub(crate) fn close_oldest(&self, endpoint: Key) -> bool {
        let mut idle = self.idle.borrow_mut();
        let conns = idle.get_mut(&endpoint).filter(|it| !it.is_empty());
        conns.map(|it| it.remove(0)).is_some()
    }

    /// Adds an idle connection unless a request waits for it, and closes the oldest one if there
    /// are too many.
    pub(crate) fn put(
        &self,
        now: Duration,
        endpoint: Key,
        conn: Conn,
        keep_alive: Option<Duration>,
        connections: &ConnectionControl,
    ) {
        // The time is the endpoint's and may be too large to add to `now`.
        let expires = keep_alive.map_or(Duration::MAX, |it| {
            now.saturating_add(it.saturating_sub(KEEP_ALIVE_MARGIN))
        });
        if now >= expires {
            return;
        }
        let Some(conn) = release(conn) else {
            return;
        };
        let share = connections.share(endpoint);
        let max_idle = share.map_or(MAX_IDLE_PER_ENDPOINT, |it| it as usize);
        let mut idle = self.idle.borrow_mut();
        let conns = idle.entry(endpoint).or_default();
        if conns.len() >= max_idle {
            conns.remove(0);
        }
        let since = now;
        conns.push(Idle {
            conn,
            since,
            expires,
        });
    }

    /// Closes connections that have been idle for too long to be reused.
    pub(crate) fn sweep(&self, now: Duration, max_idle: Duration) {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|_, conns| {
            conns.retain(|it| now < it.expires && now.saturating_sub(it.since) <= max_idle);
            !conns.is_empty()
        });
    }
}
