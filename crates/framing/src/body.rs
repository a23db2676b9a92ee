//! Decoding of message bodies.

use memchr::memchr;

use crate::Error;

/// Maximum number of bytes passed to the decoder of a line of chunk framing whose line feed hasn't
/// arrived.
const MAX_INCOMPLETE_LINE: usize = 1024;

/// Maximum number of bytes of a trailer. Its fields are dropped, and a peer could send them without
/// end.
const MAX_TRAILER_BYTES: usize = 16 * 1024;

/// The length of a body, as the framing of its message determines it.
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
    trailer_bytes: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Sized(u64),
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    Trailer,
    UntilClose,
    Done,
}

impl Decoder {
    /// Creates a decoder at the start of a body.
    #[must_use]
    pub fn new(length: Length) -> Self {
        let state = match length {
            Length::Known(0) => State::Done,
            Length::Known(remaining) => State::Sized(remaining),
            Length::Chunked => State::ChunkSize,
            Length::UntilClose => State::UntilClose,
        };
        Self {
            state,
            trailer_bytes: 0,
        }
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
        let mut consumed = 0;
        loop {
            let rest = &input[consumed..];
            let step = match self.state {
                State::Done => return Ok(consumed),
                State::UntilClose => {
                    body.extend_from_slice(rest);
                    return Ok(input.len());
                }
                State::Sized(remaining) => {
                    self.copy_bytes(rest, remaining, body, State::Sized, State::Done)
                }
                State::ChunkData(remaining) => {
                    self.copy_bytes(rest, remaining, body, State::ChunkData, State::ChunkEnd)
                }
                State::ChunkSize | State::ChunkEnd | State::Trailer => self.decode_line(rest)?,
            };
            if step == 0 {
                return Ok(consumed);
            }
            consumed += step;
        }
    }

    /// Signals that the peer closed the connection cleanly.
    ///
    /// # Errors
    /// [`Error::Truncated`] if the body was not complete.
    pub fn finish(&mut self) -> Result<(), Error> {
        match self.state {
            State::UntilClose | State::Done => {
                self.state = State::Done;
                Ok(())
            }
            _ => Err(Error::Truncated),
        }
    }

    fn copy_bytes(
        &mut self,
        rest: &[u8],
        remaining: u64,
        body: &mut Vec<u8>,
        unfinished: fn(u64) -> State,
        finished: State,
    ) -> usize {
        let len = usize::try_from(remaining)
            .unwrap_or(usize::MAX)
            .min(rest.len());
        body.extend_from_slice(&rest[..len]);
        let remaining = remaining - len as u64;
        self.state = if remaining == 0 {
            finished
        } else {
            unfinished(remaining)
        };
        len
    }

    /// Decodes one line of chunk framing. Returns the number of bytes consumed, which is 0 if
    /// the line is incomplete.
    fn decode_line(&mut self, rest: &[u8]) -> Result<usize, Error> {
        let Some(lf) = memchr(b'\n', rest) else {
            return if rest.len() > MAX_INCOMPLETE_LINE {
                Err(Error::Malformed)
            } else {
                Ok(0)
            };
        };
        let Some(line) = rest[..lf].strip_suffix(b"\r") else {
            return Err(Error::Malformed);
        };
        self.state = match self.state {
            State::ChunkSize => match parse_chunk_size(line)? {
                0 => State::Trailer,
                size => State::ChunkData(size),
            },
            State::ChunkEnd if line.is_empty() => State::ChunkSize,
            State::Trailer if line.is_empty() => State::Done,
            State::Trailer => {
                self.trailer_bytes += lf + 1;
                if self.trailer_bytes > MAX_TRAILER_BYTES {
                    return Err(Error::Malformed);
                }
                State::Trailer
            }
            _ => return Err(Error::Malformed),
        };
        Ok(lf + 1)
    }
}

fn parse_chunk_size(line: &[u8]) -> Result<u64, Error> {
    let digits = line.split(|&it| it == b';').next().unwrap_or_default();
    let digits = digits.trim_ascii_end();
    // A number of 15 hexadecimal digits fits a `u64`.
    if digits.is_empty() || digits.len() > 15 || !digits.iter().all(u8::is_ascii_hexdigit) {
        return Err(Error::Malformed);
    }
    str::from_utf8(digits)
        .ok()
        .and_then(|it| u64::from_str_radix(it, 16).ok())
        .ok_or(Error::Malformed)
}
