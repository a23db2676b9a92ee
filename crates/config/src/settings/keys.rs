//! The section `[keys]`.

use std::path::PathBuf;

use crate::schema::{Accepts, DefaultValue, Key, Section, Shape};
use crate::table::Table;

/// The paths of the files with the host's keys; see docs/operate/keys.md.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Keys {
    /// The certificate of the fleet's certificate authority, PEM.
    pub fleet_ca: PathBuf,
    /// This host's certificate, PEM.
    pub host_certificate: PathBuf,
    /// This host's private key, PEM.
    pub host_key: PathBuf,
    /// The operators' bearer key.
    pub operator_key: PathBuf,
    /// The secret from which the keys that sign session tokens and tickets are derived,
    /// the same on all hosts.
    pub session_key: PathBuf,
}

impl Keys {
    pub(crate) const SECTION: Section = Section {
        name: "keys",
        about: "the files that hold the host's keys",
        shape: Shape::One,
        keys: &[
            &FLEET_CA,
            &HOST_CERTIFICATE,
            &HOST_KEY,
            &OPERATOR_KEY,
            &SESSION_KEY,
        ],
        sections: &[],
    };

    pub(crate) fn read(file: &Table<'_>) -> Self {
        let table = file.one(&Self::SECTION);
        Self {
            fleet_ca: table.path(&FLEET_CA),
            host_certificate: table.path(&HOST_CERTIFICATE),
            host_key: table.path(&HOST_KEY),
            operator_key: table.path(&OPERATOR_KEY),
            session_key: table.path(&SESSION_KEY),
        }
    }
}

const FLEET_CA: Key = Key {
    name: "fleet_ca",
    accepts: Accepts::Path,
    default: DefaultValue::Required,
    about: "the certificate of the fleet's certificate authority, PEM",
};
const HOST_CERTIFICATE: Key = Key {
    name: "host_certificate",
    accepts: Accepts::Path,
    default: DefaultValue::Required,
    about: "this host's certificate, PEM",
};
const HOST_KEY: Key = Key {
    name: "host_key",
    accepts: Accepts::Path,
    default: DefaultValue::Required,
    about: "this host's private key, PEM",
};
const OPERATOR_KEY: Key = Key {
    name: "operator_key",
    accepts: Accepts::Path,
    default: DefaultValue::Required,
    about: "the operators' bearer key",
};
const SESSION_KEY: Key = Key {
    name: "session_key",
    accepts: Accepts::Path,
    default: DefaultValue::Required,
    about: "the secret from which the keys that sign session tokens and tickets are derived, the same on all hosts",
};
