//! The connections that are kept, one a host, whoever opened them.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use kernel::HostName;
use quinn::Connection;

use crate::Peer;

/// The kept connections by host.
pub(crate) struct Pool {
    stall: Duration,
    kept: Mutex<HashMap<HostName, Kept>>,
}

/// A kept connection, and what is needed to see that its peer is gone.
struct Kept {
    connection: Connection,
    /// Since when something was sent and nothing has come back.
    waiting: Option<Instant>,
    /// How many packets had come when something was last sent.
    received: u64,
}

impl Pool {
    pub(crate) fn new(stall: Duration) -> Self {
        Self {
            stall,
            kept: Mutex::default(),
        }
    }

    /// The connection to use, if a good one is kept.
    ///
    /// Failure: a host is restarted under the same address. Its old connection
    /// looks open here until the idle limit, and all that is sent on it is
    /// lost, so a live host passes for dead. The guard gives the connection up
    /// when nothing came back since something was sent on it `stall` ago; a
    /// live peer acknowledges within milliseconds, so it isn't given up wrongly
    /// but on a path that is broken anyway.
    pub(crate) fn find(&self, peer: &Peer) -> Option<Connection> {
        let mut kept = self.lock();
        let it = kept.get_mut(&peer.host)?;
        let received = it.connection.stats().udp_rx.datagrams;
        if received != it.received {
            it.received = received;
            it.waiting = None;
        }
        let since = *it.waiting.get_or_insert_with(Instant::now);
        let is_stalled = since.elapsed() > self.stall;
        let has_moved = it.connection.remote_address() != peer.address;
        if is_stalled || has_moved || it.connection.close_reason().is_some() {
            kept.remove(&peer.host);
            return None;
        }
        Some(it.connection.clone())
    }

    /// Keeps the newest connection: the peer that opened it is the one that lives.
    pub(crate) fn keep(&self, host: HostName, connection: Connection) {
        let received = connection.stats().udp_rx.datagrams;
        let kept = Kept {
            connection,
            waiting: None,
            received,
        };
        self.lock().insert(host, kept);
    }

    /// Forgets a connection that ended, unless a newer one has its place.
    pub(crate) fn forget(&self, host: &HostName, connection: &Connection) {
        let mut kept = self.lock();
        let is_same = kept
            .get(host)
            .is_some_and(|it| it.connection.stable_id() == connection.stable_id());
        if is_same {
            kept.remove(host);
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<HostName, Kept>> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
