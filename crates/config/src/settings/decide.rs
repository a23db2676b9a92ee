//! The section `[decide]`.

use std::time::Duration;

use crate::schema::{Accepts, DefaultValue, Key, Section, Shape};
use crate::table::Table;

/// The attempts, timeouts and sampling of requests, and the intervals of load polls
/// and decider ticks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Decide {
    /// The maximum number of attempts of a request, including the first one.
    pub max_attempts: u32,
    /// The limit on retries and hedges, as a fraction of first attempts.
    pub retry_budget: f64,
    /// The maximum fraction of responses sent to the rating service once a version
    /// has enough ratings for the class of the request.
    pub rating_share: f64,
    /// The fraction of requests that explore a version outside the plan, before the
    /// factors for its ratings and cost.
    pub explore_share: f64,
    /// Timeout of the first byte of an attempt of a chat request; services have their own.
    pub first_byte: Duration,
    /// Timeout between two bytes of a stream.
    pub stall: Duration,
    /// Minimum interval between two polls of an endpoint's load.
    pub load_poll: Duration,
    /// Interval between two ticks of the decider.
    pub tick: Duration,
}

impl Decide {
    pub(crate) const SECTION: Section = Section {
        name: "decide",
        about: "the attempts, timeouts and sampling of requests, and the intervals of load polls and decider ticks",
        shape: Shape::One,
        keys: &[
            &MAX_ATTEMPTS,
            &RETRY_BUDGET,
            &RATING_SHARE,
            &EXPLORE_SHARE,
            &FIRST_BYTE_MS,
            &STALL_MS,
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
            first_byte: table.duration(&FIRST_BYTE_MS),
            stall: table.duration(&STALL_MS),
            load_poll: table.duration(&LOAD_POLL_MS),
            tick: table.duration(&TICK_MS),
        }
    }
}

const MAX_ATTEMPTS: Key = Key {
    name: "max_attempts",
    accepts: Accepts::Integer { min: 1, max: 16 },
    default: DefaultValue::Integer(5),
    about: "the maximum number of attempts of a request, including the first",
};
const RETRY_BUDGET: Key = Key {
    name: "retry_budget",
    accepts: Accepts::Fraction,
    default: DefaultValue::Fraction(0.1),
    about: "the limit on retries and hedges, as a fraction of first attempts",
};
const RATING_SHARE: Key = Key {
    name: "rating_share",
    accepts: Accepts::Fraction,
    default: DefaultValue::Fraction(0.5),
    about: "the maximum fraction of responses sent to the rating service once a version has enough ratings for the class of the request",
};
const EXPLORE_SHARE: Key = Key {
    name: "explore_share",
    accepts: Accepts::Fraction,
    default: DefaultValue::Fraction(0.06),
    about: "the fraction of requests that explore a version outside the plan, before the factors for its ratings and cost",
};
const FIRST_BYTE_MS: Key = Key {
    name: "first_byte_ms",
    accepts: Accepts::Millis {
        min: 1,
        max: 600_000,
    },
    default: DefaultValue::Integer(10_000),
    about: "the timeout of the first byte of an attempt of a chat request; services have their own",
};
const STALL_MS: Key = Key {
    name: "stall_ms",
    accepts: Accepts::Millis {
        min: 1,
        max: 600_000,
    },
    default: DefaultValue::Integer(5_000),
    about: "the timeout between two bytes of a stream",
};
const LOAD_POLL_MS: Key = Key {
    name: "load_poll_ms",
    accepts: Accepts::Millis {
        min: 10,
        max: 60_000,
    },
    default: DefaultValue::Integer(250),
    about: "the minimum time between two polls of an endpoint's load",
};
const TICK_MS: Key = Key {
    name: "tick_ms",
    accepts: Accepts::Millis { min: 1, max: 1_000 },
    default: DefaultValue::Integer(100),
    about: "the time between two ticks of the decider",
};
