//! Parsing of response heads.

use crate::head::{MAX_FIELDS, check_line_ends};
use crate::{Error, Fields, Length};

/// The head of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// The status code.
    pub status: u16,
    /// The header fields.
    pub fields: Fields,
    /// The length of the body.
    pub length: Length,
    /// Whether the connection stays open for another request after this response.
    pub keep_alive: bool,
}

impl Head {
    /// Parses a complete head, including its blank line, of the response to a request with this
    /// method.
    ///
    /// # Errors
    /// [`Error::Malformed`] if the head is invalid or ambiguous, [`Error::TooManyFields`] if it has
    /// too many fields.
    pub fn parse(bytes: &[u8], method: &str) -> Result<Self, Error> {
        check_line_ends(bytes)?;
        let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut parsed = httparse::Response::new(&mut headers);
        if parsed.parse(bytes)?.is_partial() {
            return Err(Error::Malformed);
        }
        let (Some(status), Some(minor)) = (parsed.code, parsed.version) else {
            return Err(Error::Malformed);
        };
        if !is_valid_status(status) {
            return Err(Error::Malformed);
        }
        let fields = Fields::from_parsed(parsed.headers);
        let bodiless = method == "HEAD" || matches!(status, 100..200 | 204 | 304);
        let length = match fields.length()? {
            _ if bodiless => Length::Known(0),
            Some(length) => length,
            None => Length::UntilClose,
        };
        Ok(Self {
            status,
            length,
            keep_alive: minor == 1
                && length != Length::UntilClose
                && !fields.has_token("connection", "close"),
            fields,
        })
    }

    /// Returns whether the status is informational (1xx). Such a response precedes the final one.
    #[must_use]
    pub fn is_informational(&self) -> bool {
        (100..200).contains(&self.status)
    }

    /// Returns whether the status is a success (2xx).
    #[must_use]
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }
}

/// Returns whether a response to a relayed request can have this status.
///
/// Those below 100 and above 599 are invalid (RFC 9110, section 15), though parsers accept any
/// three digits. After a 101 the connection uses another protocol, which a relay never asks for.
fn is_valid_status(status: u16) -> bool {
    matches!(status, 100 | 102..=599)
}
