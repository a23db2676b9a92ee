//! The section `[http]`.

use std::time::Duration;

use crate::schema::{Accepts, DefaultValue, Key, Section, Shape};
use crate::table::Table;

/// The pool of outgoing HTTP connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pool {
    /// Timeout for establishing a connection to an endpoint or another host; for the
    /// platform's services, see [`crate::settings::Platform`].
    pub connect: Duration,
    /// The maximum number of idle connections to each address.
    pub idle_connections: usize,
    /// Timeout after which an idle connection is closed.
    pub idle: Duration,
}

impl Pool {
    pub(crate) const SECTION: Section = Section {
        name: "http",
        about: "the pool of outgoing HTTP connections",
        shape: Shape::One,
        keys: &[&CONNECT_MS, &IDLE_CONNECTIONS, &IDLE_MS],
        sections: &[],
    };

    pub(crate) fn read(file: &Table<'_>) -> Self {
        let table = file.one(&Self::SECTION);
        Self {
            connect: table.duration(&CONNECT_MS),
            idle_connections: table.size(&IDLE_CONNECTIONS),
            idle: table.duration(&IDLE_MS),
        }
    }
}

const CONNECT_MS: Key = Key {
    name: "connect_ms",
    accepts: Accepts::Millis {
        min: 1,
        max: 60_000,
    },
    default: DefaultValue::Integer(250),
    about: "the timeout for connecting to an endpoint or another host",
};
const IDLE_CONNECTIONS: Key = Key {
    name: "idle_connections",
    accepts: Accepts::Integer {
        min: 0,
        max: 10_000,
    },
    default: DefaultValue::Integer(64),
    about: "the maximum number of idle connections to each address",
};
const IDLE_MS: Key = Key {
    name: "idle_ms",
    accepts: Accepts::Millis {
        min: 1,
        max: 3_600_000,
    },
    default: DefaultValue::Integer(30_000),
    about: "the time after which an idle connection is closed",
};
