//! Validation and revisions of the fleet's configuration (versions, profiles,
//! customers, services and roll-outs), and the settings of a host.
//!
//! The crate does no input or output: it parses text into validated values, and
//! applies a [`Change`] to a [`Document`]; the result is the next [`Document`] or
//! an error. The operators' reference is in docs/reference/profiles.md and
//! docs/reference/settings.md; the guarantees for other crates are in
//! docs/design/contracts.md.

mod change;
mod check;
mod commit;
mod customer;
pub mod diff;
mod document;
mod entry;
mod entry_check;
mod fault;
mod file;
mod millis;
mod name;
mod priority;
mod profile;
mod retry_policy;
mod rollout;
pub mod schema;
mod service;
pub mod settings;
mod source;
mod table;
mod validate;
mod version;

pub use change::{Change, ChangeMode, Edit};
pub use commit::{Action, Commit};
pub use customer::Customer;
pub use document::{ApplyError, Conflict, Document};
pub use entry::Entry;
pub use fault::{Fault, FaultKind, FaultLocation, Faults};
pub use file::EntryFile;
pub use name::{EntryKind, EntryName};
pub use priority::Priority;
pub use profile::{Grant, Profile, WhenStale};
pub use retry_policy::RetryPolicy;
pub use rollout::{Rollout, RolloutState};
pub use service::{Route, Service};
pub use settings::Settings;
pub use version::{Version, VersionState};
