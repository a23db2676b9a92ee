//! Sends frames to other hosts over pooled connections, and accepts connections from them.

use std::collections::HashMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_std::channel::{Receiver, bounded};
use async_std::future::timeout;
use async_std::task;
use error_stack::{Report, ResultExt};
use kernel::HostName;
use quinn::{AsyncStdRuntime, Connection, Endpoint, EndpointConfig, VarInt};
use wire::{Frame, MAX_FRAME_BYTES};

use crate::connection::{self, Inbox};
use crate::pool::Pool;
use crate::{Counters, Error, Incoming, Peer, Rejection, Settings, UdpTraffic, tls};

/// The connections to other hosts of the fleet. Clones share them.
#[derive(Clone)]
pub struct Link {
    inner: Arc<Inner>,
}

struct Inner {
    endpoint: Endpoint,
    pool: Pool,
    inbox: Inbox,
    /// Encoded frames that wait for the connection that is being opened to their host.
    queued: Mutex<HashMap<HostName, Vec<Vec<u8>>>>,
    /// All open connections by their stable id, including those that a newer one has
    /// replaced in the pool.
    open_connections: Mutex<HashMap<usize, Connection>>,
    max_queued_frames: usize,
    connect_timeout: Duration,
}

impl Link {
    /// Binds the address and starts to accept connections. Returns the link, and the
    /// channel that delivers frames of authenticated hosts.
    ///
    /// # Errors
    /// [`Error::Keys`] if the keys are invalid, [`Error::Bind`] if the address can't be
    /// bound or the idle timeout is too long for QUIC.
    pub fn bind(settings: &Settings) -> Result<(Self, Receiver<Incoming>), Report<Error>> {
        let configs = tls::configure(&settings.keys, settings.idle_timeout)?;
        let socket = UdpSocket::bind(settings.address).change_context(Error::Bind)?;
        let mut endpoint = Endpoint::new(
            EndpointConfig::default(),
            Some(configs.server),
            socket,
            Arc::new(AsyncStdRuntime),
        )
        .change_context(Error::Bind)?;
        endpoint.set_default_client_config(configs.client);
        let (sender, receiver) = bounded(settings.inbox_capacity);
        let counters = Arc::new(Counters::default());
        let link = Self {
            inner: Arc::new(Inner {
                endpoint,
                pool: Pool::new(settings.stall_timeout),
                inbox: Inbox { sender, counters },
                queued: Mutex::default(),
                open_connections: Mutex::default(),
                max_queued_frames: settings.max_queued_frames,
                connect_timeout: settings.connect_timeout,
            }),
        };
        task::spawn(accept_connections(link.inner.clone()));
        Ok((link, receiver))
    }

    /// Returns the address on which the link listens.
    ///
    /// # Errors
    /// [`Error::Bind`] if the socket's address can't be read.
    pub fn address(&self) -> Result<SocketAddr, Report<Error>> {
        self.inner.endpoint.local_addr().change_context(Error::Bind)
    }

    /// Returns the link's counters.
    #[must_use]
    pub fn counters(&self) -> &Counters {
        &self.inner.inbox.counters
    }

    /// Returns the number of open connections, opened by either side.
    #[must_use]
    pub fn connection_count(&self) -> usize {
        self.inner.lock_open_connections().len()
    }

    /// Returns the UDP traffic of all connections to authenticated hosts, open and closed,
    /// since the link was bound.
    #[must_use]
    pub fn udp_traffic(&self) -> UdpTraffic {
        let mut sum = self.counters().closed();
        for connection in self.inner.lock_open_connections().values() {
            sum += connection.stats().into();
        }
        sum
    }

    /// Sends a frame without waiting for delivery; it may be lost. Small frames are sent
    /// as datagrams, larger ones each on a stream of its own.
    pub fn send(&self, peer: &Peer, frame: &Frame) {
        let Ok(bytes) = frame.encode() else {
            return self.counters().count_unsent();
        };
        match self.inner.pool.find_usable(peer) {
            Some(connection) => self.inner.clone().send_on(connection, bytes),
            None => self.inner.clone().send_when_connected(peer.clone(), bytes),
        }
    }

    /// Sends a frame and waits for the response. `time_limit` begins once there is a
    /// connection; opening one may take up to the connect timeout in addition.
    ///
    /// # Errors
    /// [`Error::Unreachable`] if no connection was established, and [`Error::Frame`] if the
    /// frame can't be encoded; in both cases it was not sent. After any other error, or if
    /// the response isn't a frame (also [`Error::Frame`]), the peer may have received it.
    pub async fn request(
        &self,
        peer: &Peer,
        frame: &Frame,
        time_limit: Duration,
    ) -> Result<Frame, Report<Error>> {
        let bytes = frame.encode().change_context(Error::Frame)?;
        let connection = self.inner.clone().connect(peer).await?;
        timeout(time_limit, self.inner.exchange(&connection, &bytes))
            .await
            .change_context(Error::Timeout)?
    }

    /// Closes all connections and notifies the peers.
    pub async fn close(&self) {
        self.inner.endpoint.close(VarInt::from_u32(0), b"closing");
        self.inner.endpoint.wait_idle().await;
    }
}

impl Inner {
    async fn exchange(
        &self,
        connection: &Connection,
        bytes: &[u8],
    ) -> Result<Frame, Report<Error>> {
        let (mut sender, mut receiver) =
            connection.open_bi().await.change_context(Error::Broken)?;
        sender
            .write_all(bytes)
            .await
            .change_context(Error::Broken)?;
        sender.finish().change_context(Error::Broken)?;
        self.inbox.counters.count_sent(bytes.len());
        let response = receiver
            .read_to_end(MAX_FRAME_BYTES)
            .await
            .change_context(Error::Broken)?;
        self.inbox.counters.count_received(response.len());
        Frame::decode(&response).change_context(Error::Frame)
    }

    /// Sends an encoded frame on an established connection.
    fn send_on(self: Arc<Self>, connection: Connection, bytes: Vec<u8>) {
        let fits_datagram = connection
            .max_datagram_size()
            .is_some_and(|it| bytes.len() <= it);
        if !fits_datagram {
            task::spawn(async move { self.send_on_stream(&connection, &bytes).await });
            return;
        }
        let len = bytes.len();
        match connection.send_datagram(bytes.into()) {
            Ok(()) => self.inbox.counters.count_sent(len),
            Err(_) => self.inbox.counters.count_unsent(),
        }
    }

    async fn send_on_stream(&self, connection: &Connection, bytes: &[u8]) {
        let sending = async {
            let mut stream = connection.open_uni().await.ok()?;
            stream.write_all(bytes).await.ok()?;
            stream.finish().ok()
        };
        match sending.await {
            Some(()) => self.inbox.counters.count_sent(bytes.len()),
            None => self.inbox.counters.count_unsent(),
        }
    }

    /// Queues a frame until the connection to the peer is established. The first queued
    /// frame opens the connection.
    fn send_when_connected(self: Arc<Self>, peer: Peer, bytes: Vec<u8>) {
        let mut queued = self.lock_queued();
        if let Some(frames) = queued.get_mut(&peer.host) {
            if frames.len() < self.max_queued_frames {
                frames.push(bytes);
            } else {
                self.inbox.counters.count_unsent();
            }
            return;
        }
        queued.insert(peer.host.clone(), vec![bytes]);
        drop(queued);
        task::spawn(async move {
            let connection = self.clone().connect(&peer).await;
            let frames = self.lock_queued().remove(&peer.host).unwrap_or_default();
            for bytes in frames {
                match &connection {
                    Ok(connection) => self.clone().send_on(connection.clone(), bytes),
                    Err(_) => self.inbox.counters.count_unsent(),
                }
            }
        });
    }

    async fn connect(self: Arc<Self>, peer: &Peer) -> Result<Connection, Report<Error>> {
        if let Some(connection) = self.pool.find_usable(peer) {
            return Ok(connection);
        }
        let connecting = self
            .endpoint
            .connect(peer.address, peer.host.as_str())
            .change_context(Error::Unreachable)?;
        let connection = timeout(self.connect_timeout, connecting)
            .await
            .change_context(Error::Unreachable)?
            .change_context(Error::Unreachable)?;
        self.register(peer.host.clone(), connection.clone());
        Ok(connection)
    }

    /// Adds a connection to an authenticated host to the pool, and receives its frames
    /// until it closes.
    fn register(self: Arc<Self>, host: HostName, connection: Connection) {
        self.inbox.counters.count_handshake();
        self.pool.add(host.clone(), connection.clone());
        let id = connection.stable_id();
        self.lock_open_connections().insert(id, connection.clone());
        task::spawn(async move {
            connection::read_frames(host.clone(), connection.clone(), self.inbox.clone()).await;
            self.pool.remove_closed(&host, &connection);
            self.lock_open_connections().remove(&id);
            self.inbox.counters.count_closed(connection.stats().into());
        });
    }

    fn lock_open_connections(&self) -> MutexGuard<'_, HashMap<usize, Connection>> {
        self.open_connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_queued(&self) -> MutexGuard<'_, HashMap<HostName, Vec<Vec<u8>>>> {
        self.queued.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn accept_connections(inner: Arc<Inner>) {
    while let Some(incoming) = inner.endpoint.accept().await {
        let inner = inner.clone();
        task::spawn(async move {
            // Without a timeout, a client that starts a handshake and then sends nothing
            // would hold resources for longer.
            let Ok(Ok(connection)) = timeout(inner.connect_timeout, incoming.into_future()).await
            else {
                return inner.inbox.counters.count_rejected(Rejection::Handshake);
            };
            let Some(host) = tls::authenticated_name(&connection) else {
                inner
                    .inbox
                    .counters
                    .count_rejected(Rejection::CertificateName);
                return connection.close(VarInt::from_u32(1), b"no name");
            };
            inner.register(host, connection);
        });
    }
}
