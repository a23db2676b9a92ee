//! Decoding of message bodies.

use memchr::memchr;

use crate::Error;

/// Maximum number of bytes buffered of an incomplete line of chunk framing, with room for chunk
/// extensions and trailer fields.
const MAX_LINE: usize = 1024;

/// The framing of a body, which determines where it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Length {
    /// The body has this number of bytes.
    Known(u64),
    /// The body is sent with the chunked transfer coding.
    Chunked,
    /// The body ends when the peer closes the connection.
    UntilClose,
}

/// Incremental decoder that extracts a body from the bytes of a connection.
#[derive(Clone, Debug)]
pub struct Decoder {
    state: State,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Plain(u64),
    Size,
    Chunk(u64),
    ChunkEnd,
    Trailer,
    Open,
    Done,
}

impl Decoder {
    /// Creates a decoder at the start of a body.
    #[must_use]
    pub fn new(length: Length) -> Self {
        let state = match length {
            Length::Known(0) => State::Done,
            Length::Known(left) => State::Plain(left),
            Length::Chunked => State::Size,
            Length::UntilClose => State::Open,
        };
        Self { state }
    }

    /// Returns whether the whole body has been decoded.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Decodes as much of `input` as possible, appends the decoded bytes to `body`
    /// and returns the number of bytes consumed. Consumes no bytes after the body's end.
    ///
    /// # Errors
    /// [`Error::Malformed`] if the chunk framing is invalid.
    pub fn decode(&mut self, input: &[u8], body: &mut Vec<u8>) -> Result<usize, Error> {
        let mut taken = 0;
        loop {
            let rest = &input[taken..];
            let step = match self.state {
                State::Done => return Ok(taken),
                State::Open => {
                    body.extend_from_slice(rest);
                    return Ok(input.len());
                }
                State::Plain(left) => self.copy(rest, left, body, State::Plain, State::Done),
                State::Chunk(left) => self.copy(rest, left, body, State::Chunk, State::ChunkEnd),
                State::Size | State::ChunkEnd | State::Trailer => self.line(rest)?,
            };
            if step == 0 {
                return Ok(taken);
            }
            taken += step;
        }
    }

    /// Signals that the peer closed the connection cleanly.
    ///
    /// # Errors
    /// [`Error::Truncated`] if the body was not complete.
    pub fn finish(&mut self) -> Result<(), Error> {
        match self.state {
            State::Open | State::Done => {
                self.state = State::Done;
                Ok(())
            }
            _ => Err(Error::Truncated),
        }
    }

    fn copy(
        &mut self,
        rest: &[u8],
        left: u64,
        body: &mut Vec<u8>,
        more: fn(u64) -> State,
        end: State,
    ) -> usize {
        let len = usize::try_from(left).unwrap_or(usize::MAX).min(rest.len());
        body.extend_from_slice(&rest[..len]);
        let left = left - len as u64;
        self.state = if left == 0 { end } else { more(left) };
        len
    }

    /// Decodes one line of chunk framing. Returns the number of bytes consumed, which is 0 if
    /// the line is incomplete.
    fn line(&mut self, rest: &[u8]) -> Result<usize, Error> {
        let Some(lf) = memchr(b'\n', rest) else {
            return if rest.len() > MAX_LINE {
                Err(Error::Malformed)
            } else {
                Ok(0)
            };
        };
        let Some(line) = rest[..lf].strip_suffix(b"\r") else {
            return Err(Error::Malformed);
        };
        self.state = match self.state {
            State::Size => match chunk_size(line)? {
                0 => State::Trailer,
                size => State::Chunk(size),
            },
            State::ChunkEnd if line.is_empty() => State::Size,
            State::Trailer if line.is_empty() => State::Done,
            State::Trailer => State::Trailer,
            _ => return Err(Error::Malformed),
        };
        Ok(lf + 1)
    }
}

fn chunk_size(line: &[u8]) -> Result<u64, Error> {
    let digits = line.split(|&it| it == b';').next().unwrap_or_default();
    let digits = digits.trim_ascii_end();
    if digits.is_empty() || digits.len() > 15 || !digits.iter().all(u8::is_ascii_hexdigit) {
        return Err(Error::Malformed);
    }
    str::from_utf8(digits)
        .ok()
        .and_then(|it| u64::from_str_radix(it, 16).ok())
        .ok_or(Error::Malformed)
}
