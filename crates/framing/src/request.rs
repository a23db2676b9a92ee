//! Parsing of request heads.

use crate::head::{MAX_FIELDS, check_line_ends};
use crate::{Error, Fields, Length};

/// The head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// The method, as sent.
    pub method: String,
    /// The request target, as sent; usually a path and an optional query.
    pub target: String,
    /// The header fields.
    pub fields: Fields,
    /// The length of the body.
    pub length: Length,
    /// Whether the sender allows another request on the connection after this one.
    pub keep_alive: bool,
    /// Whether the sender supports the chunked transfer coding, which HTTP/1.0 lacks.
    pub supports_chunked: bool,
}

impl Head {
    /// Parses a complete head, including its blank line.
    ///
    /// # Errors
    /// [`Error::Malformed`] if the head is invalid or ambiguous, [`Error::TooManyFields`] if it has
    /// too many fields.
    pub fn parse(bytes: &[u8]) -> Result<Self, Error> {
        check_line_ends(bytes)?;
        let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut parsed = httparse::Request::new(&mut headers);
        if parsed.parse(bytes)?.is_partial() {
            return Err(Error::Malformed);
        }
        let (Some(method), Some(target), Some(minor)) =
            (parsed.method, parsed.path, parsed.version)
        else {
            return Err(Error::Malformed);
        };
        let fields = Fields::from_parsed(parsed.headers);
        if fields.all("host").count() != 1 {
            return Err(Error::Malformed);
        }
        Ok(Self {
            method: method.to_owned(),
            target: target.to_owned(),
            length: fields.length()?.unwrap_or(Length::Known(0)),
            keep_alive: minor == 1 && !fields.has_token("connection", "close"),
            supports_chunked: minor == 1,
            fields,
        })
    }

    /// Returns the target without its query.
    #[must_use]
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}
