//! Validation of one entry.

use std::fmt::Display;
use std::time::Duration;

use crate::schema::{Accepts, Key};
use crate::{EntryName, Fault, FaultKind, FaultLocation};

/// Collects the faults of one entry during its validation.
///
/// Bounds and the texts of accepted values come from the schema, as for files.
pub(crate) struct EntryCheck {
    name: EntryName,
    faults: Vec<Fault>,
}

impl EntryCheck {
    pub(crate) fn new(name: EntryName) -> Self {
        Self {
            name,
            faults: Vec::new(),
        }
    }

    pub(crate) fn finish(self) -> Vec<Fault> {
        self.faults
    }

    /// Checks a number against the key's bounds. Zero below the lower bound is
    /// reported as missing, since an absent price deserializes to zero; an explicit
    /// zero of any key is reported the same way.
    pub(crate) fn integer(&mut self, key: &Key, number: u64) {
        if key.accepts.is_in_bounds(number) {
            return;
        }
        match number {
            0 => self.report(key.name, FaultKind::Missing, key.accepts.to_string()),
            _ => self.report_value(key, number),
        }
    }

    /// Checks a duration against the key's bounds.
    pub(crate) fn duration(&mut self, key: &Key, duration: Duration) {
        let number = match key.accepts {
            Accepts::Seconds { .. } => u128::from(duration.as_secs()),
            _ => duration.as_millis(),
        };
        self.integer(key, u64::try_from(number).unwrap_or(u64::MAX));
    }

    /// Reports a value that the key doesn't accept.
    pub(crate) fn report_value(&mut self, key: &Key, value: impl Display) {
        let found = FaultKind::Value(value.to_string());
        self.report(key.name, found, key.accepts.to_string());
    }

    pub(crate) fn report(&mut self, field: impl Into<String>, found: FaultKind, accepted: String) {
        self.faults.push(Fault {
            place: FaultLocation::Entry(self.name.clone()),
            field: field.into(),
            found,
            accepted,
        });
    }
}
