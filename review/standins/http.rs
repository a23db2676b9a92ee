//! The least of HTTP/1.1 that the stand-ins need: messages with a length, on blocking sockets.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;

/// The head of a message with its body.
pub struct Message {
    /// The request line or status line.
    pub line: String,
    fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Reads a message; `None` at the end of the connection.
    pub fn read(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Self>> {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let mut fields = Vec::new();
        loop {
            let mut field = String::new();
            if reader.read_line(&mut field)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let Some((name, value)) = field.trim_end().split_once(':') else {
                break;
            };
            fields.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
        let mut message = Self {
            line: line.trim_end().to_owned(),
            fields,
            body: Vec::new(),
        };
        if message.field("transfer-encoding") == Some("chunked") {
            message.read_chunks(reader)?;
        } else {
            let len = message
                .field("content-length")
                .and_then(|it| it.parse().ok());
            message.body.resize(len.unwrap_or(0), 0);
            reader.read_exact(&mut message.body)?;
        }
        Ok(Some(message))
    }

    fn read_chunks(&mut self, reader: &mut BufReader<TcpStream>) -> io::Result<()> {
        loop {
            let mut size = String::new();
            reader.read_line(&mut size)?;
            let size = usize::from_str_radix(size.trim(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(());
            }
            self.body.extend_from_slice(&chunk[..size]);
        }
    }

    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|it| it.0 == name);
        found.map(|it| it.1.as_str())
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1);
        status.and_then(|it| it.parse().ok()).unwrap_or(0)
    }
}

/// Writes a response with further fields, each ending with CR LF.
pub fn respond(stream: &mut TcpStream, status: u16, fields: &str, body: &[u8]) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status} -\r\n{fields}Content-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(&[head.as_bytes(), body].concat())
}
