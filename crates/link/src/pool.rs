//! The pool of connections to other hosts.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use kernel::HostName;
use quinn::Connection;

use crate::Peer;

/// The newest connection to each host, whichever side opened it.
pub(crate) struct Pool {
    stall_timeout: Duration,
    connections: Mutex<HashMap<HostName, PooledConnection>>,
}

/// A connection, and the data from which [`Pool::find_usable`] sees that its peer no longer
/// responds.
struct PooledConnection {
    connection: Connection,
    /// Time of the first send since a UDP datagram was last seen to arrive.
    unanswered_since: Option<Instant>,
    /// Number of UDP datagrams received as of the last call of [`Pool::find_usable`], or when
    /// the connection was added.
    datagrams_received: u64,
}

impl Pool {
    pub(crate) fn new(stall_timeout: Duration) -> Self {
        Self {
            stall_timeout,
            connections: Mutex::default(),
        }
    }

    /// Returns the connection for a frame that is about to be sent, if it is usable.
    ///
    /// A connection to a host that was restarted under the same address looks open
    /// until the idle timeout, but frames sent on it are lost, and the host would be
    /// taken for dead. So a connection is removed if nothing was received within the
    /// stall timeout after a send. A live peer acknowledges each send long before.
    pub(crate) fn find_usable(&self, peer: &Peer) -> Option<Connection> {
        let mut connections = self.lock();
        let it = connections.get_mut(&peer.host)?;
        let datagrams_received = it.connection.stats().udp_rx.datagrams;
        if datagrams_received != it.datagrams_received {
            it.datagrams_received = datagrams_received;
            it.unanswered_since = None;
        }
        let since = *it.unanswered_since.get_or_insert_with(Instant::now);
        let is_stalled = since.elapsed() > self.stall_timeout;
        let has_new_address = it.connection.remote_address() != peer.address;
        if is_stalled || has_new_address || it.connection.close_reason().is_some() {
            connections.remove(&peer.host);
            return None;
        }
        Some(it.connection.clone())
    }

    /// Adds a connection, replacing an older one to the same host: after a restart
    /// only the newer one reaches the running process.
    pub(crate) fn add(&self, host: HostName, connection: Connection) {
        let datagrams_received = connection.stats().udp_rx.datagrams;
        let pooled = PooledConnection {
            connection,
            unanswered_since: None,
            datagrams_received,
        };
        self.lock().insert(host, pooled);
    }

    /// Removes a closed connection, unless a newer one has replaced it.
    pub(crate) fn remove_closed(&self, host: &HostName, connection: &Connection) {
        let mut connections = self.lock();
        let is_same = connections
            .get(host)
            .is_some_and(|it| it.connection.stable_id() == connection.stable_id());
        if is_same {
            connections.remove(host);
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<HostName, PooledConnection>> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
