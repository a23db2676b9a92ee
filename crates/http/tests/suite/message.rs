//! Reading of messages from a raw socket. Tests of other crates include this file by its path.

use std::io::Read;
use std::net::TcpStream;

/// Reads a head, and the body if the head has a `content-length` in lower case. Returns `None` if
/// reading fails or times out.
pub(crate) fn read_message(stream: &mut TcpStream) -> Option<(String, String)> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).unwrap();
    let len = head
        .lines()
        .find_map(|it| it.strip_prefix("content-length: "))
        .map_or(0, |it| it.parse().unwrap());
    let mut body = vec![0; len];
    stream.read_exact(&mut body).ok()?;
    Some((head, String::from_utf8(body).unwrap()))
}
