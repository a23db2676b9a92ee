//! Validation of single values of a configuration.

use std::collections::BTreeSet;

/// Limit on the length of a name, in bytes.
pub(crate) const MAX_NAME: usize = 64;

/// Returns whether `text` is a valid name.
///
/// Names appear in paths and on command lines. The first character is a letter
/// or digit, since `.` and `..` have a meaning in paths and a leading `-` begins
/// an option.
pub(crate) fn is_name(text: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    text.len() <= MAX_NAME
        && text.starts_with(|first: char| first.is_ascii_alphanumeric())
        && text.bytes().all(is_allowed)
}

pub(crate) fn is_version(text: &str) -> bool {
    text.split_once('@')
        .is_some_and(|(model, version)| is_name(model) && is_name(version))
}

pub(crate) fn is_hash(text: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    text.len() == 64 && text.bytes().all(is_allowed)
}

pub(crate) fn is_method(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_uppercase())
}

pub(crate) fn is_prefix(text: &str) -> bool {
    text.starts_with('/') && text.bytes().all(|byte| byte.is_ascii_graphic())
}

pub(crate) fn is_fraction(share: f64) -> bool {
    (0.0..=1.0).contains(&share)
}

pub(crate) fn are_steps(steps: &[f64]) -> bool {
    let is_increasing = steps.windows(2).all(|pair| pair[0] < pair[1]);
    let in_range = steps.iter().all(|share| *share > 0.0 && *share <= 1.0);
    !steps.is_empty() && is_increasing && in_range
}

pub(crate) fn are_distinct<T: Ord>(items: &[T]) -> bool {
    items.iter().collect::<BTreeSet<_>>().len() == items.len()
}
