//! The section `[host]`.

use std::time::Duration;

use kernel::{DataCentre, HostName, Region};

use crate::schema::{Accepts, DefaultValue, Key, Section, Shape};
use crate::table::Table;

/// The identity of the host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Host {
    /// The name of the host, unique in the fleet.
    pub name: HostName,
    /// The data centre of the host.
    pub data_centre: DataCentre,
    /// The region of the host.
    pub region: Region,
    /// Timeout of a drain. It should be at least the sum of the longest request and the
    /// time for which callers cache the response to `GET /v1/hosts`; only the latter is
    /// checked.
    pub drain_limit: Duration,
}

impl Host {
    pub(crate) const SECTION: Section = Section {
        name: "host",
        about: "the identity of the host",
        shape: Shape::One,
        keys: &[&NAME, &DATA_CENTRE, &REGION, &DRAIN_LIMIT_S],
        sections: &[],
    };

    pub(crate) fn read(file: &Table<'_>) -> Self {
        let table = file.one(&Self::SECTION);
        Self {
            name: table.text(&NAME).into(),
            data_centre: table.text(&DATA_CENTRE).into(),
            region: table.text(&REGION).into(),
            drain_limit: table.duration(&DRAIN_LIMIT_S),
        }
    }
}

const NAME: Key = Key {
    name: "name",
    accepts: Accepts::Name,
    default: DefaultValue::Required,
    about: "its name, unique in the fleet and the same as in the host list",
};
const DATA_CENTRE: Key = Key {
    name: "data_centre",
    accepts: Accepts::Name,
    default: DefaultValue::Required,
    about: "its data centre",
};
const REGION: Key = Key {
    name: "region",
    accepts: Accepts::Name,
    default: DefaultValue::Required,
    about: "its region",
};
pub(super) const DRAIN_LIMIT_S: Key = Key {
    name: "drain_limit_s",
    accepts: Accepts::Seconds { min: 1, max: 3_600 },
    default: DefaultValue::Integer(330),
    about: "the timeout of a drain; it should be at least the sum of the longest request and `limits.hosts_keep_ms`",
};
