//! HTTP server with limits on what peers may send, and graceful shutdown.

mod connection;
mod head;
mod limits;
mod listen;
mod rejection;
mod request_body;
mod shared;
mod watch;

use std::future::{Ready, ready};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::future::timeout;
use async_std::net::{TcpListener, TcpStream};
use async_std::task::{self, sleep};
use futures::future::{Either, select};
use futures::{FutureExt, pin_mut};

use crate::{Request, Response, Status};
use rejection::{Rejection, reject};
use shared::Shared;

pub use limits::Limits;

/// Delay after a failed accept. Without it, the accept loop would keep a core busy while the
/// process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A running server. Dropping it doesn't stop it; use [`Server::drain`].
pub struct Server {
    address: SocketAddr,
    shared: Arc<Shared>,
}

/// The result of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Drained {
    /// Number of requests still in flight at its end.
    pub in_flight: usize,
}

impl Server {
    /// Listens on `address` and calls `handler` for each request. Port 0 selects a free port, see
    /// [`Server::address`].
    ///
    /// The handler isn't cancelled when the caller disconnects, so that it can clean up; it is
    /// notified through [`Request::disconnect`].
    ///
    /// # Errors
    /// The I/O error if the address can't be bound.
    pub fn bind<H, F>(address: SocketAddr, limits: Limits, handler: H) -> Ready<io::Result<Self>>
    where
        H: Fn(Request) -> F + Send + Sync + 'static,
        F: Future<Output = Response> + Send + 'static,
    {
        ready(Self::start(address, limits, handler))
    }

    fn start<H, F>(address: SocketAddr, limits: Limits, handler: H) -> io::Result<Self>
    where
        H: Fn(Request) -> F + Send + Sync + 'static,
        F: Future<Output = Response> + Send + 'static,
    {
        let listener = listen::listen(address)?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared::new(limits));
        let (task, accepting) = (shared.count_task(), Arc::clone(&shared));
        task::spawn(async move {
            accept(listener, accepting, Arc::new(handler)).await;
            drop(task);
        });
        Ok(Self { address, shared })
    }

    /// Returns the address on which the server listens, with the actual port.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of requests in flight, from the first byte of their head to the last
    /// byte of their response, or to the closing of the connection if they are rejected.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.shared.in_flight()
    }

    /// Shuts down gracefully. For `grace`, serves as before but asks callers to close their
    /// connections. Then stops listening, and waits up to `limit` for requests in flight, for
    /// connections on which a request may be about to arrive, and for connections that are being
    /// closed.
    ///
    /// Until `limit` has passed, connections stay open for [`Limits::min_open_time`] as described
    /// there, so that callers whose
    /// [`PoolLimits::max_idle_time_at_most_once`](crate::PoolLimits::max_idle_time_at_most_once) is
    /// shorter don't send requests that must not be sent twice on connections that the server is
    /// closing.
    pub async fn drain(&self, grace: Duration, limit: Duration) -> Drained {
        self.shared.begin_drain();
        if !grace.is_zero() {
            sleep(grace).await;
        }
        self.shared.stop();
        let _ = timeout(limit, self.shared.wait_finished()).await;
        Drained {
            in_flight: self.shared.in_flight(),
        }
    }
}

async fn accept<H, F>(listener: TcpListener, shared: Arc<Shared>, handler: Arc<H>)
where
    H: Fn(Request) -> F + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let stopped = shared.wait_stopped();
    pin_mut!(stopped);
    loop {
        let accepted = listener.accept();
        pin_mut!(accepted);
        match select(accepted, &mut stopped).await {
            Either::Left((Ok((stream, _)), _)) => spawn_connection(stream, &shared, &handler),
            Either::Left((Err(_), _)) => sleep(ACCEPT_RETRY_DELAY).await,
            Either::Right(_) => break,
        }
    }
    // Callers in the listen queue are already connected and may have sent a request. Closing the
    // listener would reset their connections.
    while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
        spawn_connection(stream, &shared, &handler);
    }
}

/// Spawns a task that serves a connection, or rejects it if there are too many.
fn spawn_connection<H, F>(stream: TcpStream, shared: &Arc<Shared>, handler: &Arc<H>)
where
    H: Fn(Request) -> F + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let (shared, handler) = (Arc::clone(shared), Arc::clone(handler));
    let task = shared.count_task();
    let slot = shared.count_connection();
    task::spawn(async move {
        match &slot {
            Some(_) => connection::serve(stream, &shared, &*handler).await,
            None => reject_connection(&stream, &shared).await,
        }
        drop((slot, task));
    });
}

async fn reject_connection(stream: &TcpStream, shared: &Shared) {
    let rejection = Rejection::new(Status::ServiceUnavailable, "too many connections");
    reject(stream, shared, rejection).await;
}
