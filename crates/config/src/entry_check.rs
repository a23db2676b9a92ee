//! The faults of one entry while it is being checked.

use std::fmt::Display;
use std::time::Duration;

use crate::schema::{Accepts, Key};
use crate::{Fault, Found, Name, Place};

/// The faults of one entry while it is being checked.
///
/// What is accepted comes from the schema, so that a file and a change are
/// judged alike.
pub(crate) struct EntryCheck {
    name: Name,
    faults: Vec<Fault>,
}

impl EntryCheck {
    pub(crate) fn new(name: Name) -> Self {
        Self {
            name,
            faults: Vec::new(),
        }
    }

    pub(crate) fn finish(self) -> Vec<Fault> {
        self.faults
    }

    /// Checks a number against the key's bounds; zero where the least is more
    /// counts as missing.
    pub(crate) fn whole(&mut self, key: &Key, number: u64) {
        if key.accepts.admits(number) {
            return;
        }
        match number {
            0 => self.add(key.name, Found::Missing, key.accepts.to_string()),
            _ => self.refuse(key, number),
        }
    }

    /// Checks a time against the key's bounds.
    pub(crate) fn duration(&mut self, key: &Key, duration: Duration) {
        let number = match key.accepts {
            Accepts::Seconds { .. } => u128::from(duration.as_secs()),
            _ => duration.as_millis(),
        };
        self.whole(key, u64::try_from(number).unwrap_or(u64::MAX));
    }

    /// Refuses a value that the key doesn't accept.
    pub(crate) fn refuse(&mut self, key: &Key, value: impl Display) {
        let found = Found::Value(value.to_string());
        self.add(key.name, found, key.accepts.to_string());
    }

    pub(crate) fn add(&mut self, field: impl Into<String>, found: Found, accepted: String) {
        self.faults.push(Fault {
            place: Place::Entry(self.name.clone()),
            field: field.into(),
            found,
            accepted,
        });
    }
}
