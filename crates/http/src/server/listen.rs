//! Listening with room for a burst of callers.

use std::io;
use std::net::SocketAddr;

use async_std::net::TcpListener;
use socket2::{Domain, Protocol, Socket, Type};

/// Connections that may wait to be accepted; the system's own limit holds too.
///
/// The standard library's 128 are too few when another host is lost and its
/// callers come here at once: the system then drops what it can't queue, and
/// a seat hold waits for a second until its connection is tried again.
const BACKLOG: i32 = 4096;

/// Listens on `address`.
pub(super) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    // A restarted process takes its address although connections of its
    // former life are still being closed by the system.
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    socket.set_nonblocking(true)?;
    let listener: std::net::TcpListener = socket.into();
    Ok(listener.into())
}
