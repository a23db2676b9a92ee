//! The forms that texts and numbers of a configuration have to have.

use std::collections::BTreeSet;

/// The longest name of an entry, in bytes.
pub(crate) const MAX_NAME: usize = 64;

/// A name stands in paths, where `.` and `..` would lead elsewhere, and on
/// command lines, where a leading `-` begins an option.
pub(crate) fn is_name(text: &str) -> bool {
    let fits = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    text.len() <= MAX_NAME
        && text.starts_with(|first: char| first.is_ascii_alphanumeric())
        && text.bytes().all(fits)
}

pub(crate) fn is_version(text: &str) -> bool {
    text.split_once('@')
        .is_some_and(|(model, version)| is_name(model) && is_name(version))
}

pub(crate) fn is_hash(text: &str) -> bool {
    let fits = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    text.len() == 64 && text.bytes().all(fits)
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
    let rising = steps.windows(2).all(|pair| pair[0] < pair[1]);
    let shares = steps.iter().all(|share| *share > 0.0 && *share <= 1.0);
    !steps.is_empty() && rising && shares
}

pub(crate) fn are_distinct<T: Ord>(items: &[T]) -> bool {
    items.iter().collect::<BTreeSet<_>>().len() == items.len()
}
