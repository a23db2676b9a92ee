//! `[decide]`.

use std::time::Duration;

use crate::schema::{Accepts, Fallback, Key, Section, Shape};
use crate::table::Table;

/// How the host decides.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Decide {
    /// The attempts that a request may take, the first one counted.
    pub max_attempts: u32,
    /// Retries and hedges as a share of first attempts.
    pub retry_budget: f64,
    /// The share of answers that is sent to the rating service.
    pub rating_share: f64,
    /// The share of requests that tries what isn't believed to be the best.
    pub explore_share: f64,
    /// The time to the first byte after which an idempotent call is hedged.
    pub hedge_after: Duration,
    /// The time to the first byte after which an attempt is given up.
    pub first_byte: Duration,
    /// The time between two bytes after which a stream is given up.
    pub stall: Duration,
    /// The time for which a version stays quarantined before it is probed.
    pub quarantine: Duration,
    /// The time between two reads of an endpoint's load.
    pub load_poll: Duration,
    /// The time between two ticks of the decisions' clock.
    pub tick: Duration,
}

impl Decide {
    pub(crate) const SECTION: Section = Section {
        name: "decide",
        about: "how the host decides",
        shape: Shape::One,
        keys: &[
            &MAX_ATTEMPTS,
            &RETRY_BUDGET,
            &RATING_SHARE,
            &EXPLORE_SHARE,
            &HEDGE_AFTER_MS,
            &FIRST_BYTE_MS,
            &STALL_MS,
            &QUARANTINE_MS,
            &LOAD_POLL_MS,
            &TICK_MS,
        ],
        sections: &[],
    };

    pub(crate) fn read(file: &Table<'_>) -> Self {
        let table = file.one(&Self::SECTION);
        Self {
            max_attempts: table.count(&MAX_ATTEMPTS),
            retry_budget: table.fraction(&RETRY_BUDGET),
            rating_share: table.fraction(&RATING_SHARE),
            explore_share: table.fraction(&EXPLORE_SHARE),
            hedge_after: table.duration(&HEDGE_AFTER_MS),
            first_byte: table.duration(&FIRST_BYTE_MS),
            stall: table.duration(&STALL_MS),
            quarantine: table.duration(&QUARANTINE_MS),
            load_poll: table.duration(&LOAD_POLL_MS),
            tick: table.duration(&TICK_MS),
        }
    }
}

const MAX_ATTEMPTS: Key = Key {
    name: "max_attempts",
    accepts: Accepts::Whole { min: 1, max: 16 },
    fallback: Fallback::Whole(4),
    about: "the attempts that a request may take, the first one counted",
};
const RETRY_BUDGET: Key = Key {
    name: "retry_budget",
    accepts: Accepts::Fraction,
    fallback: Fallback::Fraction(0.1),
    about: "retries and hedges as a share of first attempts",
};
const RATING_SHARE: Key = Key {
    name: "rating_share",
    accepts: Accepts::Fraction,
    fallback: Fallback::Fraction(0.1),
    about: "the share of answers that is sent to the rating service",
};
const EXPLORE_SHARE: Key = Key {
    name: "explore_share",
    accepts: Accepts::Fraction,
    fallback: Fallback::Fraction(0.02),
    about: "the share of requests that tries what isn't believed to be the best",
};
const HEDGE_AFTER_MS: Key = Key {
    name: "hedge_after_ms",
    accepts: Accepts::Millis {
        min: 1,
        max: 60_000,
    },
    fallback: Fallback::Whole(250),
    about: "the time to the first byte after which an idempotent call is hedged",
};
const FIRST_BYTE_MS: Key = Key {
    name: "first_byte_ms",
    accepts: Accepts::Millis {
        min: 1,
        max: 600_000,
    },
    fallback: Fallback::Whole(10_000),
    about: "the time to the first byte after which an attempt is given up",
};
const STALL_MS: Key = Key {
    name: "stall_ms",
    accepts: Accepts::Millis {
        min: 1,
        max: 600_000,
    },
    fallback: Fallback::Whole(5_000),
    about: "the time between two bytes after which a stream is given up",
};
const QUARANTINE_MS: Key = Key {
    name: "quarantine_ms",
    accepts: Accepts::Millis {
        min: 1,
        max: 3_600_000,
    },
    fallback: Fallback::Whole(10_000),
    about: "the time for which a version stays quarantined before it is probed",
};
const LOAD_POLL_MS: Key = Key {
    name: "load_poll_ms",
    accepts: Accepts::Millis {
        min: 10,
        max: 60_000,
    },
    fallback: Fallback::Whole(250),
    about: "the time between two reads of the load of an endpoint",
};
const TICK_MS: Key = Key {
    name: "tick_ms",
    accepts: Accepts::Millis { min: 1, max: 1_000 },
    fallback: Fallback::Whole(20),
    about: "the time between two ticks of the decisions",
};
