//! The binary form: one version byte, then `postcard`.

use crate::{Error, Frame};

/// The version byte that leads each frame.
pub const VERSION: u8 = 1;

/// The largest frame that is taken, in bytes. A configuration document is the
/// largest thing that hosts pass on.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

impl Frame {
    /// The frame's bytes, version byte first.
    ///
    /// # Errors
    /// [`Error::TooLarge`] when they would exceed [`MAX_FRAME_BYTES`].
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        let bytes = postcard::to_extend(self, vec![VERSION]).map_err(|_| Error::Malformed)?;
        if bytes.len() > MAX_FRAME_BYTES {
            return Err(Error::TooLarge(bytes.len()));
        }
        Ok(bytes)
    }

    /// Reads one frame that must fill `bytes` to its end.
    ///
    /// # Errors
    /// Says why the bytes aren't a frame; no input makes it panic.
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
