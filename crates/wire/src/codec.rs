//! Encoding and decoding of frames: one version byte, then `postcard`.

use crate::{Error, Frame};

/// The first byte of each frame.
pub const VERSION: u8 = 1;

/// The maximum size of a frame. Configuration documents are the largest content.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

impl Frame {
    /// Encodes the frame.
    ///
    /// # Errors
    /// [`Error::TooLarge`] if it exceeds [`MAX_FRAME_BYTES`], [`Error::Malformed`] if it can't
    /// be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        let bytes = postcard::to_extend(self, vec![VERSION]).map_err(|_| Error::Malformed)?;
        if bytes.len() > MAX_FRAME_BYTES {
            return Err(Error::TooLarge(bytes.len()));
        }
        Ok(bytes)
    }

    /// Decodes `bytes`, which must be exactly one frame. Never panics.
    ///
    /// # Errors
    /// The reason for which the bytes aren't a frame.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        if bytes.len() > MAX_FRAME_BYTES {
            return Err(Error::TooLarge(bytes.len()));
        }
        let (&version, body) = bytes.split_first().ok_or(Error::Empty)?;
        if version != VERSION {
            return Err(Error::UnknownVersion(version));
        }
        let (frame, rest) = postcard::take_from_bytes(body).map_err(|_| Error::Malformed)?;
        if !rest.is_empty() {
            return Err(Error::TrailingBytes(rest.len()));
        }
        Ok(frame)
    }
}
