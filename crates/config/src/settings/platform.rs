//! The section `[platform]`.

use std::net::SocketAddr;
use std::time::Duration;

use crate::schema::{Accepts, DefaultValue, Key, Section, Shape};
use crate::table::Table;

/// The addresses of the platform's services, with their timeouts and poll intervals.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Platform {
    /// The address of the table service.
    pub table: SocketAddr,
    /// The address of the object store.
    pub objects: SocketAddr,
    /// The address of the host list.
    pub host_list: SocketAddr,
    /// The address of the rating service.
    pub ratings: SocketAddr,
    /// Timeout for establishing a connection to any of these services.
    pub connect: Duration,
    /// Timeout of a whole response of any of these services.
    pub request: Duration,
    /// Interval between two reads of the host list.
    pub host_list_poll: Duration,
    /// Interval between two reads of ratings.
    pub ratings_poll: Duration,
}

impl Platform {
    pub(crate) const SECTION: Section = Section {
        name: "platform",
        about: "the addresses, timeouts and poll intervals of the platform's services",
        shape: Shape::One,
        keys: &[
            &TABLE,
            &OBJECTS,
            &HOST_LIST,
            &RATINGS,
            &CONNECT_MS,
            &REQUEST_MS,
            &HOST_LIST_POLL_MS,
            &RATINGS_POLL_MS,
        ],
        sections: &[],
    };

    pub(crate) fn read(file: &Table<'_>) -> Self {
        let table = file.one(&Self::SECTION);
        Self {
            table: table.address(&TABLE),
            objects: table.address(&OBJECTS),
            host_list: table.address(&HOST_LIST),
            ratings: table.address(&RATINGS),
            connect: table.duration(&CONNECT_MS),
            request: table.duration(&REQUEST_MS),
            host_list_poll: table.duration(&HOST_LIST_POLL_MS),
            ratings_poll: table.duration(&RATINGS_POLL_MS),
        }
    }
}

const TABLE: Key = Key {
    name: "table",
    accepts: Accepts::Address,
    default: DefaultValue::Required,
    about: "the table service",
};
const OBJECTS: Key = Key {
    name: "objects",
    accepts: Accepts::Address,
    default: DefaultValue::Required,
    about: "the object store; unused",
};
const HOST_LIST: Key = Key {
    name: "host_list",
    accepts: Accepts::Address,
    default: DefaultValue::Required,
    about: "the host list",
};
const RATINGS: Key = Key {
    name: "ratings",
    accepts: Accepts::Address,
    default: DefaultValue::Required,
    about: "the rating service",
};
const CONNECT_MS: Key = Key {
    name: "connect_ms",
    accepts: Accepts::Millis {
        min: 1,
        max: 60_000,
    },
    default: DefaultValue::Integer(500),
    about: "the timeout for connecting to any of these services",
};
const REQUEST_MS: Key = Key {
    name: "request_ms",
    accepts: Accepts::Millis {
        min: 1,
        max: 60_000,
    },
    default: DefaultValue::Integer(2_000),
    about: "the timeout of a whole response of any of these services",
};
const HOST_LIST_POLL_MS: Key = Key {
    name: "host_list_poll_ms",
    accepts: Accepts::Millis {
        min: 10,
        max: 60_000,
    },
    default: DefaultValue::Integer(1_000),
    about: "the time between two reads of the host list",
};
const RATINGS_POLL_MS: Key = Key {
    name: "ratings_poll_ms",
    accepts: Accepts::Millis {
        min: 10,
        max: 60_000,
    },
    default: DefaultValue::Integer(1_000),
    about: "the time between two reads of ratings",
};
