//! The settings of a host: the file that `barleypind --settings` reads.
//!
//! docs/reference/settings.md lists every key.

mod decide;
mod freshness;
mod host;
mod keys;
mod ledger;
mod limits;
mod listen;
mod log;
mod platform;
mod pool;

pub use decide::Decide;
pub use freshness::Freshness;
pub use host::Host;
pub use keys::Keys;
pub use ledger::Ledger;
pub use limits::Limits;
pub use listen::Listen;
pub use log::{Format, Level, Log};
pub use platform::Platform;
pub use pool::Pool;

use crate::Faults;
use crate::schema::{Section, Shape};
use crate::source::Source;
use crate::table::Table;

/// The settings of a host, checked.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Who the host is.
    pub host: Host,
    /// Where it listens.
    pub listen: Listen,
    /// Where the platform's services are.
    pub platform: Platform,
    /// The files that hold its keys.
    pub keys: Keys,
    /// How it logs.
    pub log: Log,
    /// What it takes from callers at most.
    pub limits: Limits,
    /// How it decides.
    pub decide: Decide,
    /// How it keeps its configuration the newest.
    pub freshness: Freshness,
    /// How it keeps billing records.
    pub ledger: Ledger,
    /// The connections to endpoints and to the platform.
    pub http: Pool,
}

impl Settings {
    /// Every table and key, from which docs/reference/settings.md is checked.
    pub const SCHEMA: Section = Section {
        name: "",
        about: "the settings of a host",
        shape: Shape::One,
        keys: &[],
        sections: &[
            &Host::SECTION,
            &Listen::SECTION,
            &Platform::SECTION,
            &Keys::SECTION,
            &Log::SECTION,
            &Limits::SECTION,
            &Decide::SECTION,
            &Freshness::SECTION,
            &Ledger::SECTION,
            &Pool::SECTION,
        ],
    };

    /// Reads the text of a settings file, which errors call `file`.
    ///
    /// # Errors
    /// Every fault of the text, by line.
    pub fn parse(text: &str, file: &str) -> Result<Self, Faults> {
        Source::read(file, text, &Self::SCHEMA, |root| {
            let settings = Self {
                host: Host::read(root),
                listen: Listen::read(root),
                platform: Platform::read(root),
                keys: Keys::read(root),
                log: Log::read(root),
                limits: Limits::read(root),
                decide: Decide::read(root),
                freshness: Freshness::read(root),
                ledger: Ledger::read(root),
                http: Pool::read(root),
            };
            settings.check(root);
            settings
        })
    }

    /// Checks what has to hold between keys.
    fn check(&self, root: &Table<'_>) {
        if self.host.drain_limit < self.limits.hosts_keep {
            let accepted = "at least `limits.hosts_keep_ms`, for which callers may still come";
            root.reject(&Host::SECTION, &host::DRAIN_LIMIT_S, accepted);
        }
        if self.freshness.bound <= self.freshness.poll {
            let accepted = "more than `freshness.poll_ms`, after which a proof can be renewed";
            root.reject(&Freshness::SECTION, &freshness::BOUND_MS, accepted);
        }
    }
}
