//! The section `[freshness]`.

use std::time::Duration;

use crate::schema::{Accepts, DefaultValue, Key, Section, Shape};
use crate::table::Table;

/// The freshness of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Freshness {
    /// The maximum age of the last confirmation that the configuration is current.
    /// Beyond it, the `when_stale` of a profile applies.
    pub bound: Duration,
    /// Interval between two reads of the table by the hosts that poll it.
    pub poll: Duration,
}

impl Freshness {
    pub(crate) const SECTION: Section = Section {
        name: "freshness",
        about: "the freshness of the configuration",
        shape: Shape::One,
        keys: &[&BOUND_MS, &POLL_MS],
        sections: &[],
    };

    pub(crate) fn read(file: &Table<'_>) -> Self {
        let table = file.one(&Self::SECTION);
        Self {
            bound: table.duration(&BOUND_MS),
            poll: table.duration(&POLL_MS),
        }
    }
}

pub(super) const BOUND_MS: Key = Key {
    name: "bound_ms",
    accepts: Accepts::Millis {
        min: 100,
        max: 600_000,
    },
    default: DefaultValue::Integer(10_000),
    about: "the maximum age of the last confirmation that the configuration is current; beyond it, the `when_stale` of a profile applies",
};
const POLL_MS: Key = Key {
    name: "poll_ms",
    accepts: Accepts::Millis {
        min: 10,
        max: 60_000,
    },
    default: DefaultValue::Integer(1_000),
    about: "the time between two reads of the table by the hosts that poll it",
};
