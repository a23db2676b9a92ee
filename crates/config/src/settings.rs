//! The settings of a host, from the file given to `barleypind --settings`.
//!
//! docs/reference/settings.md lists all keys.

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

/// The validated settings of a host.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The identity of the host.
    pub host: Host,
    /// The listening addresses.
    pub listen: Listen,
    /// The addresses and timeouts of the platform's services.
    pub platform: Platform,
    /// The files with the host's keys.
    pub keys: Keys,
    /// The log format and level.
    pub log: Log,
    /// The limits on connections and requests of callers and operators.
    pub limits: Limits,
    /// The attempts, timeouts and sampling of requests, and the intervals of load polls
    /// and decider ticks.
    pub decide: Decide,
    /// The freshness of the configuration.
    pub freshness: Freshness,
    /// The storage of billing records.
    pub ledger: Ledger,
    /// The pool of outgoing HTTP connections.
    pub http: Pool,
}

impl Settings {
    /// All tables and keys. A test compares docs/reference/settings.md with them.
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

    /// Parses the text of a settings file. `file` is its name in errors.
    ///
    /// # Errors
    /// All faults of the text, ordered by line. After a syntax error, missing keys
    /// aren't reported.
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

    /// Checks the constraints between keys. For a key with a fault, it checks the
    /// placeholder.
    fn check(&self, root: &Table<'_>) {
        if self.host.drain_limit < self.limits.hosts_keep {
            let accepted = "at least `limits.hosts_keep_ms`, the time for which callers may cache the host list";
            root.report_inconsistent_value(&Host::SECTION, &host::DRAIN_LIMIT_S, accepted);
        }
        if self.freshness.bound <= self.freshness.poll {
            let accepted =
                "more than `freshness.poll_ms`, the interval between two reads of the table";
            root.report_inconsistent_value(&Freshness::SECTION, &freshness::BOUND_MS, accepted);
        }
    }
}
