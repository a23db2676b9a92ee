//! Creation of the listening socket.

use std::io;
use std::net::SocketAddr;

use async_std::net::TcpListener;
use socket2::{Domain, Protocol, Socket, Type};

/// Maximum number of connections that wait to be accepted. The system may have a lower limit.
const BACKLOG: i32 = 4096;

/// Listens on `address`.
pub(super) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    // Allows a restarted process to bind its address while connections of the previous process
    // are still closing.
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    socket.set_nonblocking(true)?;
    let listener: std::net::TcpListener = socket.into();
    Ok(listener.into())
}
