//! The server: an accept loop, limits on what peers may send, a graceful stop.

mod connection;
mod head;
mod incoming;
mod limits;
mod listen;
mod refusal;
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
use refusal::{Refusal, refuse};
use shared::Shared;

pub use limits::Limits;

/// How long a failing accept is left alone. It fails when the process has no
/// file descriptor left, and would otherwise keep a core busy until it has.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A running server. Dropping it doesn't stop it; [`Server::drain`] does.
pub struct Server {
    address: SocketAddr,
    shared: Arc<Shared>,
}

/// What a graceful stop left behind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Drained {
    /// Requests that were still in flight when the time was over.
    pub left: usize,
}

impl Server {
    /// Listens on `address` and hands each request to `handler`. Port 0 takes
    /// any free port, see [`Server::address`].
    ///
    /// The handler runs to its end also when the caller hangs up, so that it
    /// can settle what it began; [`Request::hangup`] tells it.
    ///
    /// # Errors
    /// What the operating system says about the address.
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
        let (task, accepting) = (shared.task(), Arc::clone(&shared));
        task::spawn(async move {
            accept(listener, accepting, Arc::new(handler)).await;
            drop(task);
        });
        Ok(Self { address, shared })
    }

    /// The address on which it listens, with the port that was taken.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// How many requests are between their head and the last byte of their answer.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.shared.in_flight()
    }

    /// Stops gracefully: serves as before for `grace` but asks callers to close
    /// their connections, then accepts no more and waits up to `limit` for the
    /// requests in flight and the connections on which one may be on its way.
    ///
    /// After a grace of at least [`Limits::keep_time`] no caller whose
    /// [`Pool::warm`](crate::Pool::warm) is shorter loses a request that may
    /// not be repeated.
    pub async fn drain(&self, grace: Duration, limit: Duration) -> Drained {
        self.shared.retire();
        if !grace.is_zero() {
            sleep(grace).await;
        }
        self.shared.stop();
        let _ = timeout(limit, self.shared.finished()).await;
        Drained {
            left: self.shared.in_flight(),
        }
    }
}

async fn accept<H, F>(listener: TcpListener, shared: Arc<Shared>, handler: Arc<H>)
where
    H: Fn(Request) -> F + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let stopped = shared.stopped();
    pin_mut!(stopped);
    loop {
        let accepted = listener.accept();
        pin_mut!(accepted);
        match select(accepted, &mut stopped).await {
            Either::Left((Ok((stream, _)), _)) => admit(stream, &shared, &handler),
            Either::Left((Err(_), _)) => sleep(ACCEPT_PAUSE).await,
            Either::Right(_) => break,
        }
    }
    // Those who wait for their accept have a connection as far as they know,
    // and may have written their request. Closing the listener resets them.
    while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
        admit(stream, &shared, &handler);
    }
}

/// Serves a connection in a task of its own, or turns it away in one.
fn admit<H, F>(stream: TcpStream, shared: &Arc<Shared>, handler: &Arc<H>)
where
    H: Fn(Request) -> F + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let (shared, handler) = (Arc::clone(shared), Arc::clone(handler));
    let task = shared.task();
    let slot = shared.connection();
    task::spawn(async move {
        match &slot {
            Some(_) => connection::serve(stream, &shared, &*handler).await,
            None => turn_away(&stream, &shared).await,
        }
        drop((slot, task));
    });
}

async fn turn_away(stream: &TcpStream, shared: &Shared) {
    let refusal = Refusal::new(Status::ServiceUnavailable, "too many connections");
    refuse(stream, shared, refusal).await;
}
