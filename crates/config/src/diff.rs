//! Unified diffs of entries and documents.

use similar::TextDiff;

use crate::{Document, Entry, EntryName, file};

/// Returns the unified diff between the TOML of two states of an entry; empty if
/// it is the same. `None` stands for an entry that doesn't exist.
#[must_use]
pub fn entries(name: &EntryName, old: Option<&Entry>, new: Option<&Entry>) -> String {
    let old_text = old.map(file::to_toml).unwrap_or_default();
    let new_text = new.map(file::to_toml).unwrap_or_default();
    if old_text == new_text && old.is_some() == new.is_some() {
        return String::new();
    }
    let diff = TextDiff::from_lines(&old_text, &new_text);
    diff.unified_diff()
        .context_radius(CONTEXT_LINES)
        .header(&label(name, old), &label(name, new))
        .to_string()
}

/// Returns the unified diffs of all entries whose TOML differs between two documents.
#[must_use]
pub fn documents(old: &Document, new: &Document) -> String {
    let mut names: Vec<EntryName> = old.names().chain(new.names()).collect();
    names.sort();
    names.dedup();
    names
        .iter()
        .map(|name| entries(name, old.entry(name).as_ref(), new.entry(name).as_ref()))
        .collect()
}

/// Context lines around each difference.
const CONTEXT_LINES: usize = 3;

fn label(name: &EntryName, entry: Option<&Entry>) -> String {
    match entry {
        Some(entry) if entry.changed().0 > 0 => format!("{name}, revision {}", entry.changed()),
        Some(_) => format!("{name}, as given"),
        None => format!("{name}, absent"),
    }
}
