//! Masking of text that varies between runs.

/// Replaces request and attempt ids, tokens, ports and times with placeholders.
pub(crate) fn mask(text: &str) -> String {
    let mut masked = String::new();
    let mut word = String::new();
    for c in text.chars() {
        if c.is_ascii_alphanumeric() || matches!(c, '-' | '.') {
            word.push(c);
        } else {
            put(&mut masked, &word);
            word.clear();
            masked.push(c);
        }
    }
    put(&mut masked, &word);
    masked
}

fn put(masked: &mut String, word: &str) {
    let is_port = masked.ends_with("127.0.0.1:");
    let is_wait = masked.ends_with("\"retry_after_ms\":");
    masked.push_str(match (is_port, is_wait) {
        (true, _) => "<port>",
        (_, true) => "<ms>",
        _ => replace(word),
    });
}

fn replace(word: &str) -> &str {
    if word.starts_with("s1.") {
        return "<token>";
    }
    if word.starts_with("t1.") {
        return "<ticket>";
    }
    let is_long_number = |it: &str| it.len() >= 10 && it.bytes().all(|it| it.is_ascii_digit());
    if is_long_number(word) {
        return "<number>";
    }
    match word.split_once('-') {
        Some((start, end)) if is_long_number(start) && is_hex(end) => "<attempt>",
        Some((start, end)) if start.len() >= 10 && is_hex(start) && is_hex(end) => "<request>",
        _ => word,
    }
}

fn is_hex(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|it| it.is_ascii_hexdigit())
}
