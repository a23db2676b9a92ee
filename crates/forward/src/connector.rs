//! The interface for opening connections.

use std::io;
use std::net::SocketAddr;

use async_std::net::TcpStream;
use futures::FutureExt;
use futures::future::LocalBoxFuture;

/// Opens connections to endpoints and other hosts.
pub trait Connector: 'static {
    /// Opens a connection. There is no timeout; the caller drops the future when it takes too
    /// long.
    ///
    /// # Errors
    /// Returns the error of the operating system.
    fn connect(&self, address: SocketAddr) -> LocalBoxFuture<'static, io::Result<TcpStream>>;
}

/// Opens TCP connections.
#[derive(Clone, Copy, Debug, Default)]
pub struct TcpConnector;

impl Connector for TcpConnector {
    fn connect(&self, address: SocketAddr) -> LocalBoxFuture<'static, io::Result<TcpStream>> {
        TcpStream::connect(address).boxed_local()
    }
}
