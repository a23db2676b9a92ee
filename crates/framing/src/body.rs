//! Bodies.

use memchr::memchr;

use crate::Error;

/// The longest line of chunk framing that is taken, in bytes. Sizes are at most
/// 16 digits; the rest is room for extensions and trailers.
const MAX_LINE: usize = 1024;

/// How a body's end is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Length {
    /// By its number of bytes.
    Known(u64),
    /// By its last chunk.
    Chunked,
    /// By the connection's end.
    UntilClose,
}

/// Takes the body out of what a connection carries.
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
    /// A decoder at the start of a body.
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

    /// Whether the body has been taken to its end.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Takes what it can from `input`, appends the body's part of it to `body`
    /// and returns how many bytes it took. It takes nothing beyond the body.
    ///
    /// # Errors
    /// [`Error::Malformed`] for broken chunk framing.
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

    /// Says that the connection has ended in good order.
    ///
    /// # Errors
    /// [`Error::Truncated`] if the body hasn't.
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

    /// Takes one line of chunk framing, or nothing if it isn't all there.
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
