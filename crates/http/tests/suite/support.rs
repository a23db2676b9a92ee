//! Helpers for tests with raw sockets.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Decodes the escapes `\r`, `\n` and `\xNN` of a script line.
pub(crate) fn unescape(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte != b'\\' {
            out.push(byte);
            continue;
        }
        match rest.next().unwrap() {
            b'r' => out.push(b'\r'),
            b'n' => out.push(b'\n'),
            b'x' => {
                let hex = [rest.next().unwrap(), rest.next().unwrap()];
                let hex = std::str::from_utf8(&hex).unwrap();
                out.push(u8::from_str_radix(hex, 16).unwrap());
            }
            other => panic!("unknown escape: byte {other}"),
        }
    }
    out
}

/// Opens a connection with a read timeout, so that a test fails instead of hanging.
pub(crate) fn connect(to: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(to).unwrap();
    let read_timeout = Some(Duration::from_secs(20));
    stream.set_read_timeout(read_timeout).unwrap();
    stream
}

pub(crate) fn send(stream: &mut TcpStream, text: &str) {
    stream.write_all(&unescape(text)).unwrap();
}
