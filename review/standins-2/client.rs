//! A stand-in of a client.

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::wire::{self, Chunk};

pub struct Client {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// A complete answer with this status.
    Answered(u16),
    /// The connection ended before the answer was complete, after this many events.
    Cut(u64),
    /// The connection couldn't be opened or used.
    NotSent,
}

impl Client {
    pub fn connect(to: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(26)));
        let reader = BufReader::new(stream.try_clone().ok()?);
        Some(Self { stream, reader })
    }

    /// Sends a request, and reads its answer. `fields` are further header fields, each with its
    /// line end.
    pub fn ask(&mut self, line: &str, id: &str, fields: &str, body: &str) -> Outcome {
        let text = format!(
            "{line} HTTP/1.1\r\nHost: reels.example\r\nRequest-Id: {id}\r\nApi-Key: key-1\r\n{fields}Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if self.stream.write_all(text.as_bytes()).is_err() {
            return Outcome::NotSent;
        }
        let Ok(Some(head)) = wire::read_head(&mut self.reader) else {
            return Outcome::Cut(0);
        };
        if head.get("transfer-encoding").is_some() {
            let mut events = 0;
            loop {
                match wire::read_chunk(&mut self.reader) {
                    Chunk::Data(_) => events += 1,
                    Chunk::End => return Outcome::Answered(head.status()),
                    Chunk::Cut => return Outcome::Cut(events),
                }
            }
        }
        let len = head.get("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
        let mut body = vec![0; len];
        match self.reader.read_exact(&mut body) {
            Ok(()) => Outcome::Answered(head.status()),
            Err(_) => Outcome::Cut(0),
        }
    }
}
