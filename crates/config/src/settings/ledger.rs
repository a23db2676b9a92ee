//! The section `[ledger]`.

use std::time::Duration;

use crate::schema::{Accepts, DefaultValue, Key, Section, Shape};
use crate::table::Table;

/// The storage of billing records on the host until they are in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ledger {
    /// The minimum time for which a record waits for others of its batch. A full batch,
    /// urgent records and a drain don't wait for it.
    pub batch: Duration,
    /// The maximum number of records in a batch.
    pub batch_records: usize,
    /// The maximum number of the host's records that aren't in the table yet. At
    /// this limit, the host refuses new billable requests.
    pub held_records: usize,
    /// Timeout for a partner to acknowledge a copy of a record; then another host is
    /// asked.
    pub partner: Duration,
    /// The retention of idempotency keys and their responses; for keys with a ticket of
    /// this host, it begins when the ticket expires.
    pub remember: Duration,
    /// The time for which a host has to be gone before it is fenced and its records
    /// are settled without it.
    pub fence_after: Duration,
}

impl Ledger {
    pub(crate) const SECTION: Section = Section {
        name: "ledger",
        about: "the storage of billing records until they are in the table",
        shape: Shape::One,
        keys: &[
            &BATCH_MS,
            &BATCH_RECORDS,
            &HELD_RECORDS,
            &PARTNER_MS,
            &REMEMBER_MS,
            &FENCE_AFTER_MS,
        ],
        sections: &[],
    };

    pub(crate) fn read(file: &Table<'_>) -> Self {
        let table = file.one(&Self::SECTION);
        Self {
            batch: table.duration(&BATCH_MS),
            batch_records: table.size(&BATCH_RECORDS),
            held_records: table.size(&HELD_RECORDS),
            partner: table.duration(&PARTNER_MS),
            remember: table.duration(&REMEMBER_MS),
            fence_after: table.duration(&FENCE_AFTER_MS),
        }
    }
}

const BATCH_MS: Key = Key {
    name: "batch_ms",
    accepts: Accepts::Millis {
        min: 1,
        max: 60_000,
    },
    default: DefaultValue::Integer(1_000),
    about: "the minimum time for which a record waits for others of its batch; a full batch, urgent records and a drain don't wait for it",
};
const BATCH_RECORDS: Key = Key {
    name: "batch_records",
    accepts: Accepts::Integer {
        min: 1,
        max: 100_000,
    },
    default: DefaultValue::Integer(500),
    about: "the maximum number of records in a batch",
};
const HELD_RECORDS: Key = Key {
    name: "held_records",
    accepts: Accepts::Integer {
        min: 1,
        max: 10_000_000,
    },
    default: DefaultValue::Integer(40_000),
    about: "the maximum number of the host's records that aren't in the table yet; at this limit, new billable requests are refused",
};
const PARTNER_MS: Key = Key {
    name: "partner_ms",
    accepts: Accepts::Millis {
        min: 1,
        max: 60_000,
    },
    default: DefaultValue::Integer(250),
    about: "the timeout for a partner to acknowledge a copy of a record; then another host is asked",
};
const REMEMBER_MS: Key = Key {
    name: "remember_ms",
    accepts: Accepts::Millis {
        min: 1_000,
        max: 86_400_000,
    },
    default: DefaultValue::Integer(3_600_000),
    about: "the retention of idempotency keys and their responses; for keys with a ticket of this host, it begins when the ticket expires",
};
const FENCE_AFTER_MS: Key = Key {
    name: "fence_after_ms",
    accepts: Accepts::Millis {
        min: 100,
        max: 3_600_000,
    },
    default: DefaultValue::Integer(30_000),
    about: "the time for which a host has to be gone before its records are settled without it; if a restart takes longer, its records are settled needlessly, but none is lost",
};
