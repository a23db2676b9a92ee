//! Idle connections to endpoints.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use route::endpoint::Key;

use crate::conn::Conn;

/// The most idle connections that are kept to one endpoint. Hosts share what an
/// endpoint accepts, and an idle connection of one is missing to another.
const MOST_IDLE: usize = 8;
/// Taken off the time for which an endpoint says that it keeps a connection:
/// whole seconds are told, and the request still has to get there.
const MARGIN: Duration = Duration::from_millis(500);

/// Idle connections to endpoints. An endpoint's new life has a key of its own,
/// so a connection never leads to another process than it was opened to.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: RefCell<HashMap<Key, Vec<Idle>>>,
}

#[derive(Debug)]
struct Idle {
    conn: Conn,
    since: Duration,
    until: Duration,
}

impl Pool {
    /// Takes the connection that was used last, if it was within `max_idle`.
    pub(crate) fn take(&self, now: Duration, endpoint: Key, max_idle: Duration) -> Option<Conn> {
        let mut idle = self.idle.borrow_mut();
        let conns = idle.get_mut(&endpoint)?;
        while let Some(mut it) = conns.pop() {
            if now >= it.until || !it.conn.is_quiet() {
                continue;
            }
            if now.saturating_sub(it.since) > max_idle {
                conns.push(it);
                return None;
            }
            return Some(it.conn);
        }
        None
    }

    /// Keeps a connection for the next request.
    pub(crate) fn put(&self, now: Duration, endpoint: Key, conn: Conn, keeps: Option<Duration>) {
        // An endpoint may name any time at all.
        let until = keeps.map_or(Duration::MAX, |it| {
            now.saturating_add(it.saturating_sub(MARGIN))
        });
        let mut idle = self.idle.borrow_mut();
        let conns = idle.entry(endpoint).or_default();
        if conns.len() >= MOST_IDLE {
            conns.remove(0);
        }
        let since = now;
        conns.push(Idle { conn, since, until });
    }

    /// Closes connections that are too old to be used.
    pub(crate) fn sweep(&self, now: Duration, max_idle: Duration) {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|_, conns| {
            conns.retain(|it| now < it.until && now.saturating_sub(it.since) <= max_idle);
            !conns.is_empty()
        });
    }
}
