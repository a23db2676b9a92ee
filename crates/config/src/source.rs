//! Parsing of TOML texts with the collection of their faults.

use std::cell::RefCell;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::FaultKind;
use crate::schema::Section;
use crate::table::Table;
use crate::{Fault, FaultLocation, Faults};

/// A TOML text that is being parsed, with the faults found so far.
pub(crate) struct Source<'a> {
    file: &'a str,
    text: &'a str,
    faults: RefCell<Vec<Fault>>,
}

impl<'a> Source<'a> {
    /// Parses `text` as TOML with the schema `section`, and converts it with `read`.
    ///
    /// `read` gets a placeholder for each key with a fault, so that it runs to its
    /// end and all faults are reported at once. Its result is then discarded. After
    /// a syntax error, missing keys aren't reported.
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
            let offset = error.span().map_or(0, |span| span.start);
            source.report(
                offset,
                String::new(),
                FaultKind::Syntax,
                error.message().into(),
            );
        }
        let value = read(&Table::root(&source, root.get_ref(), section));
        source.finish(value)
    }

    pub(crate) fn report(&self, offset: usize, field: String, found: FaultKind, accepted: String) {
        let place = FaultLocation::Line {
            file: self.file.to_owned(),
            line: self.line(offset),
        };
        self.faults.borrow_mut().push(Fault {
            place,
            field,
            found,
            accepted,
        });
    }

    /// Formats a value for a fault.
    pub(crate) fn show(&self, value: &Spanned<DeValue<'_>>) -> String {
        match value.get_ref() {
            DeValue::Table(_) => "a table".to_owned(),
            DeValue::String(text) => format!("\"{}\"", shorten(text)),
            _ => shorten(self.text.get(value.span()).unwrap_or_default()),
        }
    }

    fn line(&self, offset: usize) -> usize {
        let before = self.text.as_bytes().iter().take(offset);
        1 + before.filter(|byte| **byte == b'\n').count()
    }

    fn finish<T>(self, value: T) -> Result<T, Faults> {
        let mut faults = self.faults.into_inner();
        if faults.is_empty() {
            return Ok(value);
        }
        // After a syntax error, a key that seems missing may be in the text that
        // wasn't parsed.
        if faults.iter().any(|fault| fault.found == FaultKind::Syntax) {
            faults.retain(|fault| fault.found != FaultKind::Missing);
        }
        faults.sort_by_key(|fault| match &fault.place {
            FaultLocation::Line { line, .. } => *line,
            FaultLocation::Entry(_) => 0,
        });
        Err(Faults(faults))
    }
}

/// Shortens a value to one line of limited length.
fn shorten(text: &str) -> String {
    const MAX_CHARS: usize = 60;
    let mut chars = text
        .chars()
        .map(|it| if it.is_control() { ' ' } else { it });
    let mut head: String = chars.by_ref().take(MAX_CHARS).collect();
    if chars.next().is_some() {
        head.push('…');
    }
    head
}
