//! The section `[limits]`.

use std::time::Duration;

use crate::schema::{Accepts, DefaultValue, Key, Section, Shape};
use crate::table::Table;

/// The limits on connections and requests of callers and operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Timeout for receiving the head of a request.
    pub header_time: Duration,
    /// Timeout for receiving the body of a request.
    pub body_time: Duration,
    /// Timeout after which an idle connection is closed.
    pub idle_time: Duration,
    /// The maximum number of open connections per listening address.
    pub max_connections: usize,
    /// The maximum number of requests in flight.
    pub max_in_flight: usize,
    /// The time for which callers may cache the response to `GET /v1/hosts`.
    pub hosts_keep: Duration,
}

impl Limits {
    pub(crate) const SECTION: Section = Section {
        name: "limits",
        about: "the limits on connections and requests of callers and operators",
        shape: Shape::One,
        keys: &[
            &MAX_BODY_BYTES,
            &HEADER_TIME_MS,
            &BODY_TIME_MS,
            &IDLE_TIME_MS,
            &MAX_CONNECTIONS,
            &MAX_IN_FLIGHT,
            &HOSTS_KEEP_MS,
        ],
        sections: &[],
    };

    pub(crate) fn read(file: &Table<'_>) -> Self {
        let table = file.one(&Self::SECTION);
        Self {
            max_body_bytes: table.size(&MAX_BODY_BYTES),
            header_time: table.duration(&HEADER_TIME_MS),
            body_time: table.duration(&BODY_TIME_MS),
            idle_time: table.duration(&IDLE_TIME_MS),
            max_connections: table.size(&MAX_CONNECTIONS),
            max_in_flight: table.size(&MAX_IN_FLIGHT),
            hosts_keep: table.duration(&HOSTS_KEEP_MS),
        }
    }
}

const MAX_BODY_BYTES: Key = Key {
    name: "max_body_bytes",
    accepts: Accepts::Integer {
        min: 1_024,
        max: 1_073_741_824,
    },
    default: DefaultValue::Integer(8_388_608),
    about: "the maximum size of a request body, in bytes",
};
const HEADER_TIME_MS: Key = Key {
    name: "header_time_ms",
    accepts: Accepts::Millis {
        min: 10,
        max: 600_000,
    },
    default: DefaultValue::Integer(5_000),
    about: "the timeout for receiving the head of a request",
};
const BODY_TIME_MS: Key = Key {
    name: "body_time_ms",
    accepts: Accepts::Millis {
        min: 10,
        max: 600_000,
    },
    default: DefaultValue::Integer(30_000),
    about: "the timeout for receiving the body of a request",
};
const IDLE_TIME_MS: Key = Key {
    name: "idle_time_ms",
    accepts: Accepts::Millis {
        min: 10,
        max: 3_600_000,
    },
    default: DefaultValue::Integer(60_000),
    about: "the time for which an idle connection stays open",
};
const MAX_CONNECTIONS: Key = Key {
    name: "max_connections",
    accepts: Accepts::Integer {
        min: 1,
        max: 1_000_000,
    },
    default: DefaultValue::Integer(4_096),
    about: "the maximum number of open connections per listening address",
};
const MAX_IN_FLIGHT: Key = Key {
    name: "max_in_flight",
    accepts: Accepts::Integer {
        min: 1,
        max: 1_000_000,
    },
    default: DefaultValue::Integer(2_048),
    about: "the maximum number of requests in flight",
};
const HOSTS_KEEP_MS: Key = Key {
    name: "hosts_keep_ms",
    accepts: Accepts::Millis {
        min: 100,
        max: 600_000,
    },
    default: DefaultValue::Integer(10_000),
    about: "the time for which callers may cache the response to `GET /v1/hosts`",
};
