//! The link itself.

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
use crate::{Counters, Error, Incoming, Peer, Rejection, Settings, Transport, tls};

/// This host's end of all connections to the fleet. Clones share it.
#[derive(Clone)]
pub struct Link {
    inner: Arc<Inner>,
}

struct Inner {
    endpoint: Endpoint,
    pool: Pool,
    inbox: Inbox,
    waiting: Mutex<HashMap<HostName, Vec<Vec<u8>>>>,
    /// All open connections, also those that a newer one has replaced.
    open: Mutex<HashMap<usize, Connection>>,
    max_waiting: usize,
    connect_timeout: Duration,
}

impl Link {
    /// Listens, and returns the link with the channel on which frames of proven
    /// hosts come.
    ///
    /// # Errors
    /// [`Error::Keys`] or [`Error::Bind`].
    pub fn bind(settings: &Settings) -> Result<(Self, Receiver<Incoming>), Report<Error>> {
        let configs = tls::configure(&settings.keys, settings.idle)?;
        let socket = UdpSocket::bind(settings.address).change_context(Error::Bind)?;
        let mut endpoint = Endpoint::new(
            EndpointConfig::default(),
            Some(configs.server),
            socket,
            Arc::new(AsyncStdRuntime),
        )
        .change_context(Error::Bind)?;
        endpoint.set_default_client_config(configs.client);
        let (sender, receiver) = bounded(settings.inbox);
        let counters = Arc::new(Counters::default());
        let link = Self {
            inner: Arc::new(Inner {
                endpoint,
                pool: Pool::new(settings.stall),
                inbox: Inbox { sender, counters },
                waiting: Mutex::default(),
                open: Mutex::default(),
                max_waiting: settings.waiting,
                connect_timeout: settings.connect_timeout,
            }),
        };
        task::spawn(accept(link.inner.clone()));
        Ok((link, receiver))
    }

    /// Where the link listens.
    ///
    /// # Errors
    /// [`Error::Bind`] when the socket is gone.
    pub fn address(&self) -> Result<SocketAddr, Report<Error>> {
        self.inner.endpoint.local_addr().change_context(Error::Bind)
    }

    /// The counts of this link.
    #[must_use]
    pub fn counters(&self) -> &Counters {
        &self.inner.inbox.counters
    }

    /// How many connections are open, in either direction.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.inner.lock_open().len()
    }

    /// What went over the wire since the link was bound.
    #[must_use]
    pub fn transport(&self) -> Transport {
        let mut sum = self.counters().ended();
        for connection in self.inner.lock_open().values() {
            sum += connection.stats().into();
        }
        sum
    }

    /// Sends a frame without waiting; it may be lost. Small frames travel as
    /// datagrams, larger ones on a stream of their own.
    pub fn send(&self, peer: &Peer, frame: &Frame) {
        let Ok(bytes) = frame.encode() else {
            return self.counters().count_unsent();
        };
        match self.inner.pool.find(peer) {
            Some(connection) => self.inner.clone().post(connection, bytes),
            None => self.inner.clone().post_later(peer.clone(), bytes),
        }
    }

    /// Sends a frame and waits for its answer.
    ///
    /// # Errors
    /// [`Error::Unreachable`] when nothing left this host; after any other one
    /// the peer may have taken the frame.
    pub async fn ask(
        &self,
        peer: &Peer,
        frame: &Frame,
        within: Duration,
    ) -> Result<Frame, Report<Error>> {
        let bytes = frame.encode().change_context(Error::Frame)?;
        let connection = self.inner.clone().connect(peer).await?;
        timeout(within, self.inner.exchange(&connection, &bytes))
            .await
            .change_context(Error::Timeout)?
    }

    /// Closes all connections; peers notice at once.
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
        let answer = receiver
            .read_to_end(MAX_FRAME_BYTES)
            .await
            .change_context(Error::Broken)?;
        self.inbox.counters.count_received(answer.len());
        Frame::decode(&answer).change_context(Error::Frame)
    }

    /// Sends on a connection that stands.
    fn post(self: Arc<Self>, connection: Connection, bytes: Vec<u8>) {
        let fits = connection
            .max_datagram_size()
            .is_some_and(|it| bytes.len() <= it);
        if !fits {
            task::spawn(async move { self.post_stream(&connection, &bytes).await });
            return;
        }
        let len = bytes.len();
        match connection.send_datagram(bytes.into()) {
            Ok(()) => self.inbox.counters.count_sent(len),
            Err(_) => self.inbox.counters.count_unsent(),
        }
    }

    async fn post_stream(&self, connection: &Connection, bytes: &[u8]) {
        let sent = async {
            let mut stream = connection.open_uni().await.ok()?;
            stream.write_all(bytes).await.ok()?;
            stream.finish().ok()
        };
        match sent.await {
            Some(()) => self.inbox.counters.count_sent(bytes.len()),
            None => self.inbox.counters.count_unsent(),
        }
    }

    /// Lets the frame wait for the connection that is being opened; the first
    /// frame opens it.
    fn post_later(self: Arc<Self>, peer: Peer, bytes: Vec<u8>) {
        let mut waiting = self.lock_waiting();
        if let Some(frames) = waiting.get_mut(&peer.host) {
            if frames.len() < self.max_waiting {
                frames.push(bytes);
            } else {
                self.inbox.counters.count_unsent();
            }
            return;
        }
        waiting.insert(peer.host.clone(), vec![bytes]);
        drop(waiting);
        task::spawn(async move {
            let connection = self.clone().connect(&peer).await;
            let frames = self.lock_waiting().remove(&peer.host).unwrap_or_default();
            for bytes in frames {
                match &connection {
                    Ok(connection) => self.clone().post(connection.clone(), bytes),
                    Err(_) => self.inbox.counters.count_unsent(),
                }
            }
        });
    }

    async fn connect(self: Arc<Self>, peer: &Peer) -> Result<Connection, Report<Error>> {
        if let Some(connection) = self.pool.find(peer) {
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
        self.adopt(peer.host.clone(), connection.clone());
        Ok(connection)
    }

    /// Keeps a connection whose peer has proven its name, and reads from it.
    fn adopt(self: Arc<Self>, host: HostName, connection: Connection) {
        self.inbox.counters.count_handshake();
        self.pool.keep(host.clone(), connection.clone());
        let id = connection.stable_id();
        self.lock_open().insert(id, connection.clone());
        task::spawn(async move {
            connection::read(host.clone(), connection.clone(), self.inbox.clone()).await;
            self.pool.forget(&host, &connection);
            self.lock_open().remove(&id);
            self.inbox.counters.count_ended(connection.stats().into());
        });
    }

    fn lock_open(&self) -> MutexGuard<'_, HashMap<usize, Connection>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_waiting(&self) -> MutexGuard<'_, HashMap<HostName, Vec<Vec<u8>>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn accept(inner: Arc<Inner>) {
    while let Some(incoming) = inner.endpoint.accept().await {
        let inner = inner.clone();
        task::spawn(async move {
            // A stranger that opens a handshake and stays silent must not hold
            // its place for longer than a host needs to prove itself.
            let Ok(Ok(connection)) = timeout(inner.connect_timeout, incoming.into_future()).await
            else {
                return inner.inbox.counters.count_rejected(Rejection::Handshake);
            };
            let Some(host) = tls::proven_name(&connection) else {
                inner.inbox.counters.count_rejected(Rejection::Nameless);
                return connection.close(VarInt::from_u32(1), b"no name");
            };
            inner.adopt(host, connection);
        });
    }
}
