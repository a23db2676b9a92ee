//! Percent-encoding for paths, queries and row keys.

use std::fmt::Write as _;

/// Percent-encodes every byte except ASCII letters, digits, `-`, `_`, `.` and `~`.
pub(crate) fn encode_url_part(text: &str) -> String {
    encode_except(text, |byte| {
        byte.is_ascii_alphanumeric() || b"-_.~".contains(&byte)
    })
}

/// Percent-encodes the separator `/` of row keys, and `%`.
pub(crate) fn escape_key_part(text: &str) -> String {
    encode_except(text, |byte| byte != b'/' && byte != b'%')
}

/// Decodes the output of [`escape_key_part`] or [`encode_url_part`]. Returns
/// `None` if an escape sequence is invalid or the result isn't UTF-8.
pub(crate) fn decode(text: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte == b'%' {
            bytes.push(parse_hex_digit(rest.next()?)? * 16 + parse_hex_digit(rest.next()?)?);
        } else {
            bytes.push(byte);
        }
    }
    String::from_utf8(bytes).ok()
}

fn encode_except(text: &str, keep: impl Fn(u8) -> bool) -> String {
    if text.bytes().all(&keep) {
        return text.to_owned();
    }
    let mut out = Vec::with_capacity(text.len() + 8);
    for byte in text.bytes() {
        if keep(byte) {
            out.push(byte);
        } else {
            let mut code = String::with_capacity(3);
            // Writing to a string can't fail.
            let _ = write!(code, "%{byte:02X}");
            out.extend_from_slice(code.as_bytes());
        }
    }
    // `out` is valid UTF-8: every character is either kept whole or encoded whole.
    String::from_utf8_lossy(&out).into_owned()
}

fn parse_hex_digit(digit: u8) -> Option<u8> {
    char::from(digit)
        .to_digit(16)
        .and_then(|it| u8::try_from(it).ok())
}
