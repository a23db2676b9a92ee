//! Parsers for values of arguments.

use std::time::Duration;

/// Maximum length of a change id that hosts accept, in bytes.
const MAX_CHANGE_ID_BYTES: usize = 128;

/// Parses a number of seconds above 0, possibly with a fraction.
pub(super) fn seconds(text: &str) -> Result<Duration, String> {
    let seconds: Option<f64> = text.parse().ok();
    seconds
        .filter(|seconds| *seconds > 0.0)
        .and_then(|seconds| Duration::try_from_secs_f64(seconds).ok())
        .ok_or_else(|| "expected a number of seconds above 0".to_owned())
}

/// Parses a change id.
pub(super) fn change_id(text: &str) -> Result<String, String> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    if (1..=MAX_CHANGE_ID_BYTES).contains(&text.len()) && text.bytes().all(is_allowed) {
        Ok(text.to_owned())
    } else {
        Err(format!(
            "expected 1 to {MAX_CHANGE_ID_BYTES} letters, digits, `-`, `_` or `.`"
        ))
    }
}

/// Parses the target of a request into its host name and path.
pub(super) fn request_target(text: &str) -> Result<(String, String), String> {
    let (host, path) = text.split_once('/').unwrap_or((text, ""));
    if host.is_empty() {
        Err("expected a host name and a path, like `shop.example/chat/x`".to_owned())
    } else {
        Ok((host.to_owned(), format!("/{path}")))
    }
}
