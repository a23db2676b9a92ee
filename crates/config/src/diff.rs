//! What differs between two entries or documents, as unified text.

use similar::TextDiff;

use crate::{Document, Entry, Name, file};

/// What differs between two states of an entry; empty when nothing does. A
/// state in which the entry doesn't exist is nothing.
#[must_use]
pub fn entries(name: &Name, old: Option<&Entry>, new: Option<&Entry>) -> String {
    let old_text = old.map(file::body).unwrap_or_default();
    let new_text = new.map(file::body).unwrap_or_default();
    if old_text == new_text && old.is_some() == new.is_some() {
        return String::new();
    }
    let text = TextDiff::from_lines(&old_text, &new_text);
    text.unified_diff()
        .context_radius(CONTEXT)
        .header(&label(name, old), &label(name, new))
        .to_string()
}

/// What differs between two documents, entry by entry.
#[must_use]
pub fn documents(old: &Document, new: &Document) -> String {
    let mut names: Vec<Name> = old.names().chain(new.names()).collect();
    names.sort();
    names.dedup();
    names
        .iter()
        .map(|name| entries(name, old.entry(name).as_ref(), new.entry(name).as_ref()))
        .collect()
}

/// The lines around a difference; the entries are short.
const CONTEXT: usize = 3;

fn label(name: &Name, entry: Option<&Entry>) -> String {
    match entry {
        Some(entry) if entry.changed().0 > 0 => format!("{name}, revision {}", entry.changed()),
        Some(_) => format!("{name}, as given"),
        None => format!("{name}, absent"),
    }
}
