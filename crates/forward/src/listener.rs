//! Accepts callers' connections.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_std::net::TcpListener;
use async_std::task;

use crate::conn::Conn;
use crate::{Dialect, Node, caller};

/// The delay after a failed accept, and between checks while too many connections are open. It
/// keeps the loop from spinning, for example while the process has no free file descriptor.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts callers' connections and serves each in its own task.
#[derive(Debug)]
pub struct Listener {
    listener: TcpListener,
    max_open: usize,
}

impl Listener {
    /// Binds to `address`. While `max_open` connections are open, no further ones are accepted.
    ///
    /// # Errors
    /// Returns the error of the operating system if the address can't be bound.
    pub async fn bind(address: SocketAddr, max_open: usize) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        Ok(Self { listener, max_open })
    }

    /// Returns the address that the socket is bound to.
    ///
    /// # Errors
    /// Returns the error of the operating system.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Accepts connections until the task is dropped.
    pub async fn run<D: Dialect>(self, node: Rc<Node<D>>) {
        loop {
            if node.open_connections() >= self.max_open {
                task::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
            match self.listener.accept().await {
                Ok((stream, _)) => {
                    let shared = Rc::clone(&node);
                    node.spawn(async move {
                        let _connection = shared.track_connection();
                        caller::serve_connection(&shared, Conn::new(stream)).await;
                    });
                }
                Err(_) => task::sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
    }
}
