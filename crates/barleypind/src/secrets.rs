//! Key material, read at start from the files named in the settings.

use std::fs;
use std::path::Path;

use config::settings;
use error_stack::{Report, ResultExt};
use kernel::Secret;

use crate::error::Error;

/// The keys with which this host authenticates itself and others.
///
/// They are never logged. The `Debug` output contains no key, only the operator key's MAC.
#[derive(Clone, Debug)]
pub(crate) struct Secrets {
    /// The key that signs session tokens.
    pub(crate) session: Secret,
    /// The key that signs tickets.
    pub(crate) ticket: Secret,
    /// The keys of the link between hosts.
    pub(crate) fleet: link::Keys,
    operator: Secret,
    operator_mac: [u8; 32],
}

impl Secrets {
    /// Reads the key files.
    ///
    /// # Errors
    /// Returns [`Error::Key`] with the file that can't be read or is empty.
    pub(crate) fn read(keys: &settings::Keys) -> Result<Self, Report<Error>> {
        let session = text(&keys.session_key)?;
        let operator = Secret::derive("barleypin 2026 operator key", b"");
        let operator_mac = operator.sign(text(&keys.operator_key)?.trim().as_bytes());
        Ok(Self {
            session: Secret::derive("barleypin 2026 session token", session.trim().as_bytes()),
            ticket: Secret::derive("barleypin 2026 ticket", session.trim().as_bytes()),
            fleet: link::Keys {
                ca: text(&keys.fleet_ca)?,
                certificate: text(&keys.host_certificate)?,
                key: text(&keys.host_key)?,
            },
            operator,
            operator_mac,
        })
    }

    /// Returns whether `key` is the operators' key. Compares in constant time.
    pub(crate) fn is_operator(&self, key: &str) -> bool {
        self.operator.verify(key.as_bytes(), &self.operator_mac)
    }
}

fn text(path: &Path) -> Result<String, Report<Error>> {
    let text = fs::read_to_string(path).change_context_lazy(|| Error::key(path))?;
    if text.trim().is_empty() {
        return Err(Report::new(Error::key(path)).attach("the file is empty"));
    }
    Ok(text)
}
