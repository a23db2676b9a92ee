//! The section `[listen]`.

use std::net::SocketAddr;

use crate::schema::{Accepts, DefaultValue, Key, Section, Shape};
use crate::table::Table;

/// The listening addresses of the host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listen {
    /// The TCP address for callers.
    pub callers: SocketAddr,
    /// The TCP address for operators; it may be the same as for callers.
    pub operators: SocketAddr,
    /// The UDP address for the other hosts.
    pub fleet: SocketAddr,
}

impl Listen {
    pub(crate) const SECTION: Section = Section {
        name: "listen",
        about: "the listening addresses",
        shape: Shape::One,
        keys: &[&CALLERS, &OPERATORS, &FLEET],
        sections: &[],
    };

    pub(crate) fn read(file: &Table<'_>) -> Self {
        let table = file.one(&Self::SECTION);
        Self {
            callers: table.address(&CALLERS),
            operators: table.address(&OPERATORS),
            fleet: table.address(&FLEET),
        }
    }
}

const CALLERS: Key = Key {
    name: "callers",
    accepts: Accepts::Address,
    default: DefaultValue::Required,
    about: "TCP, for callers",
};
const OPERATORS: Key = Key {
    name: "operators",
    accepts: Accepts::Address,
    default: DefaultValue::Required,
    about: "TCP, for operators; may be the same as for callers",
};
const FLEET: Key = Key {
    name: "fleet",
    accepts: Accepts::Address,
    default: DefaultValue::Required,
    about: "UDP, for the other hosts",
};
