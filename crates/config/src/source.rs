//! A text that a person wrote, and the faults found in it so far.

use std::cell::RefCell;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::Found;
use crate::schema::Section;
use crate::table::Table;
use crate::{Fault, Faults, Place};

/// A text that a person wrote, and the faults found in it so far.
pub(crate) struct Source<'a> {
    file: &'a str,
    text: &'a str,
    faults: RefCell<Vec<Fault>>,
}

impl<'a> Source<'a> {
    /// Reads `text` as TOML by `section`, whose keys `read` takes out.
    ///
    /// `read` always gets to its end, so that every fault is found in one
    /// run: a key with a fault reads as a placeholder, which is dropped with
    /// the result.
    pub(crate) fn read<T>(
        file: &'a str,
        text: &'a str,
        section: &'static Section,
        read: impl FnOnce(&Table<'_>) -> T,
    ) -> Result<T, Faults> {
        let source = Source {
            file,
            text,
            faults: RefCell::default(),
        };
        let (root, errors) = DeTable::parse_recoverable(text);
        for error in &errors {
            let at = error.span().map_or(0, |span| span.start);
            source.add(at, String::new(), Found::Syntax, error.message().into());
        }
        let value = read(&Table::root(&source, root.get_ref(), section));
        source.finish(value)
    }

    pub(crate) fn add(&self, at: usize, field: String, found: Found, accepted: String) {
        let place = Place::Line {
            file: self.file.to_owned(),
            line: self.line(at),
        };
        self.faults.borrow_mut().push(Fault {
            place,
            field,
            found,
            accepted,
        });
    }

    /// How a value is shown in a fault.
    pub(crate) fn show(&self, value: &Spanned<DeValue<'_>>) -> String {
        match value.get_ref() {
            DeValue::Table(_) => "a table".to_owned(),
            DeValue::String(text) => format!("\"{}\"", shorten(text)),
            _ => shorten(self.text.get(value.span()).unwrap_or_default()),
        }
    }

    fn line(&self, at: usize) -> usize {
        let before = self.text.as_bytes().iter().take(at);
        1 + before.filter(|byte| **byte == b'\n').count()
    }

    fn finish<T>(self, value: T) -> Result<T, Faults> {
        let mut faults = self.faults.into_inner();
        if faults.is_empty() {
            return Ok(value);
        }
        // A key behind a broken line may be there, so only what is really
        // known to be wrong is told.
        if faults.iter().any(|fault| fault.found == Found::Syntax) {
            faults.retain(|fault| fault.found != Found::Missing);
        }
        faults.sort_by_key(|fault| match &fault.place {
            Place::Line { line, .. } => *line,
            Place::Entry(_) => 0,
        });
        Err(Faults(faults))
    }
}

/// Keeps an error on one line, whatever was pasted into the file.
fn shorten(text: &str) -> String {
    const LONGEST: usize = 60;
    let mut chars = text
        .chars()
        .map(|it| if it.is_control() { ' ' } else { it });
    let mut head: String = chars.by_ref().take(LONGEST).collect();
    if chars.next().is_some() {
        head.push('…');
    }
    head
}
