//! Signed encoding of values that callers store and send back.

use kernel::Secret;
use serde::{Serialize, de::DeserializeOwned};

const MAC_BYTES: usize = 32;
/// Maximum length of the text that [`open`] decodes. Session tokens, tickets and
/// forwarding proofs are expected to be shorter; [`seal`] doesn't check this.
const MAX_TEXT_BYTES: usize = 2048;

/// Encodes `value` and its keyed hash as text for a header. The value is signed, not
/// encrypted: the caller can read it.
pub(crate) fn seal<T: Serialize>(secret: &Secret, prefix: &str, value: &T) -> String {
    let mut bytes = postcard::to_stdvec(value).expect("tokens contain only text and numbers");
    let mac = secret.sign(&signed_bytes(prefix, &bytes));
    bytes.extend_from_slice(&mac);
    let mut text = String::with_capacity(prefix.len() + bytes.len() * 2);
    text.push_str(prefix);
    for byte in bytes {
        text.push(hex_digit(byte >> 4));
        text.push(hex_digit(byte & 0xf));
    }
    text
}

/// Decodes text that [`seal`] made with the same secret and prefix.
///
/// Returns `None` for text that was modified, truncated or made by someone else.
pub(crate) fn open<T: DeserializeOwned>(secret: &Secret, prefix: &str, text: &str) -> Option<T> {
    if text.len() > MAX_TEXT_BYTES {
        return None;
    }
    let bytes = decode_hex(text.strip_prefix(prefix)?)?;
    let split = bytes.len().checked_sub(MAC_BYTES)?;
    let (body, mac) = bytes.split_at(split);
    if !secret.verify(&signed_bytes(prefix, body), mac.try_into().ok()?) {
        return None;
    }
    postcard::from_bytes(body).ok()
}

/// Returns the bytes to sign. They include the prefix, so that a token of one kind
/// isn't accepted as another kind whose body decodes the same way.
fn signed_bytes(prefix: &str, body: &[u8]) -> Vec<u8> {
    [prefix.as_bytes(), body].concat()
}

fn hex_digit(nibble: u8) -> char {
    char::from_digit(u32::from(nibble), 16).expect("a nibble is below sixteen")
}

fn decode_hex(text: &str) -> Option<Vec<u8>> {
    if !text.len().is_multiple_of(2) {
        return None;
    }
    text.as_bytes()
        .chunks_exact(2)
        .map(|pair| {
            let high = char::from(pair[0]).to_digit(16)?;
            let low = char::from(pair[1]).to_digit(16)?;
            u8::try_from(high << 4 | low).ok()
        })
        .collect()
}
