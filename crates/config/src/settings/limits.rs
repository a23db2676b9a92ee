//! The section `[limits]`.

use std::time::Duration;

use crate::schema::{Accepts, Fallback, Key, Section, Shape};
use crate::table::Table;

/// The limits on connections and requests of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Timeout of the head of a request.
    pub header_time: Duration,
    /// Timeout of the body of a request.
    pub body_time: Duration,
    /// Timeout after which an idle connection is closed.
    pub idle_time: Duration,
    /// The maximum of open connections.
    pub max_connections: usize,
    /// The maximum of requests in flight.
    pub max_in_flight: usize,
    /// The time for which callers may cache the response to `GET /v1/hosts`.
    pub hosts_keep: Duration,
}

impl Limits {
    pub(crate) const SECTION: Section = Section {
        name: "limits",
        about: "what the host takes from callers at most",
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
    accepts: Accepts::Whole {
        min: 1_024,
        max: 1_073_741_824,
    },
    fallback: Fallback::Whole(8_388_608),
    about: "the bytes of a body",
};
const HEADER_TIME_MS: Key = Key {
    name: "header_time_ms",
    accepts: Accepts::Millis {
        min: 10,
        max: 600_000,
    },
    fallback: Fallback::Whole(5_000),
    about: "the time within which the head of a request has to come",
};
const BODY_TIME_MS: Key = Key {
    name: "body_time_ms",
    accepts: Accepts::Millis {
        min: 10,
        max: 600_000,
    },
    fallback: Fallback::Whole(30_000),
    about: "the time within which the body of a request has to come",
};
const IDLE_TIME_MS: Key = Key {
    name: "idle_time_ms",
    accepts: Accepts::Millis {
        min: 10,
        max: 3_600_000,
    },
    fallback: Fallback::Whole(60_000),
    about: "the time for which an idle connection stays open",
};
const MAX_CONNECTIONS: Key = Key {
    name: "max_connections",
    accepts: Accepts::Whole {
        min: 1,
        max: 1_000_000,
    },
    fallback: Fallback::Whole(4_096),
    about: "the connections that are open at a time",
};
const MAX_IN_FLIGHT: Key = Key {
    name: "max_in_flight",
    accepts: Accepts::Whole {
        min: 1,
        max: 1_000_000,
    },
    fallback: Fallback::Whole(2_048),
    about: "the requests that are in flight at a time",
};
const HOSTS_KEEP_MS: Key = Key {
    name: "hosts_keep_ms",
    accepts: Accepts::Millis {
        min: 100,
        max: 600_000,
    },
    fallback: Fallback::Whole(10_000),
    about: "the time for which callers may keep the answer to `GET /v1/hosts`",
};
