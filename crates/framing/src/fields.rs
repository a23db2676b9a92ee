//! Header fields of a message, with the whitespace around values removed.

use std::ops::Range;

use crate::{Error, Length};

/// The header fields of a message, in their order and with the case of their names preserved.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fields {
    bytes: Vec<u8>,
    lines: Vec<Line>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Line {
    name: Range<usize>,
    value: Range<usize>,
}

impl Fields {
    pub(crate) fn from_parsed(parsed: &[httparse::Header<'_>]) -> Self {
        let mut fields = Self::default();
        for it in parsed {
            let name = fields.push(it.name.as_bytes());
            let value = fields.push(it.value.trim_ascii());
            fields.lines.push(Line { name, value });
        }
        fields
    }

    fn push(&mut self, text: &[u8]) -> Range<usize> {
        let start = self.bytes.len();
        self.bytes.extend_from_slice(text);
        start..self.bytes.len()
    }

    /// Returns the names and values of all fields.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.lines.iter().map(|it| {
            // The parser accepts only ASCII in names.
            let name = str::from_utf8(&self.bytes[it.name.clone()]).unwrap_or_default();
            (name, &self.bytes[it.value.clone()])
        })
    }

    /// Returns the values of all fields with this name, compared without regard to case.
    pub fn all(&self, name: &str) -> impl Iterator<Item = &[u8]> {
        self.iter()
            .filter(move |(it, _)| it.eq_ignore_ascii_case(name))
            .map(|(_, value)| value)
    }

    /// Returns the first value with this name, if it is valid UTF-8.
    #[must_use]
    pub fn text(&self, name: &str) -> Option<&str> {
        self.all(name).next().and_then(|it| str::from_utf8(it).ok())
    }

    /// Returns the first value with this name, if it parses as a `u64`.
    #[must_use]
    pub fn number(&self, name: &str) -> Option<u64> {
        self.text(name)?.parse().ok()
    }

    /// Returns whether a comma-separated field contains `token`, compared without regard to case.
    #[must_use]
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.all(name)
            .flat_map(|it| it.split(|&byte| byte == b','))
            .any(|it| it.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
    }

    /// Returns whether a field is hop-by-hop and must not be forwarded, either by its name or
    /// because the `Connection` field lists it.
    #[must_use]
    pub fn is_hop_by_hop(&self, name: &str) -> bool {
        const NAMES: [&str; 9] = [
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
        ];
        NAMES.iter().any(|it| name.eq_ignore_ascii_case(it)) || self.has_token("connection", name)
    }

    /// Returns the body's length as the fields state it, if they do.
    ///
    /// Rejects a second `Content-Length`, even an equal one, a length together with a transfer
    /// coding, a length that isn't a `u64` in digits, and transfer codings other than a single
    /// `chunked`. Parsers differ in how they read most of these, which allows request smuggling.
    pub(crate) fn length(&self) -> Result<Option<Length>, Error> {
        let mut lengths = self.all("content-length");
        let length = lengths.next();
        if lengths.next().is_some() {
            return Err(Error::Malformed);
        }
        let mut encodings = self.all("transfer-encoding");
        match (length, encodings.next()) {
            (None, None) => Ok(None),
            (Some(length), None) => parse_digits(length).map(|it| Some(Length::Known(it))),
            (None, Some(it)) if it.eq_ignore_ascii_case(b"chunked") => match encodings.next() {
                None => Ok(Some(Length::Chunked)),
                Some(_) => Err(Error::Malformed),
            },
            _ => Err(Error::Malformed),
        }
    }
}

fn parse_digits(text: &[u8]) -> Result<u64, Error> {
    if text.is_empty() || !text.iter().all(u8::is_ascii_digit) {
        return Err(Error::Malformed);
    }
    str::from_utf8(text)
        .ok()
        .and_then(|it| it.parse().ok())
        .ok_or(Error::Malformed)
}
