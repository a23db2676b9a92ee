//! Takes callers' connections.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_std::net::TcpListener;
use async_std::task;

use crate::conn::Conn;
use crate::{Dialect, Node, caller};

/// How long a failing accept is left alone. It fails when the process has no
/// descriptor left, and would otherwise keep the core busy until it has.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Takes callers' connections and serves each in a task of its own.
#[derive(Debug)]
pub struct Front {
    listener: TcpListener,
    max_open: usize,
}

impl Front {
    /// Listens. Beyond `max_open` connections further ones wait to be accepted.
    ///
    /// # Errors
    /// What the operating system says about the address.
    pub async fn bind(address: SocketAddr, max_open: usize) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        Ok(Self { listener, max_open })
    }

    /// Where it listens.
    ///
    /// # Errors
    /// What the operating system says about the socket.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves for as long as the host runs.
    pub async fn run<D: Dialect>(self, node: Rc<Node<D>>) {
        loop {
            if node.open() >= self.max_open {
                task::sleep(ACCEPT_PAUSE).await;
                continue;
            }
            match self.listener.accept().await {
                Ok((stream, _)) => {
                    let shared = Rc::clone(&node);
                    node.spawn(async move {
                        let _open = shared.count_open();
                        caller::converse(&shared, Conn::new(stream)).await;
                    });
                }
                Err(_) => task::sleep(ACCEPT_PAUSE).await,
            }
        }
    }
}
