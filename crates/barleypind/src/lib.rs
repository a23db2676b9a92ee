//! The entry host daemon: the services that join the crates of this
//! workspace into one process. See `docs/ARCHITECTURE.md`.

mod call;
mod context;
mod current;
mod daemon;
mod error;
pub mod event;
mod gate;
mod gauges;
mod host;
pub mod log;
pub mod metrics;
mod operate;
mod policy;
mod renew;
mod reply;
mod secrets;
mod service;
mod tuning;

pub use daemon::Daemon;
pub use error::Error;
pub use service::drain::Ended;

/// Reads the key files that the settings name, and keeps nothing of them.
///
/// # Errors
/// [`Error::Key`] with the file that can't be used.
pub fn check_keys(settings: &config::Settings) -> Result<(), error_stack::Report<Error>> {
    secrets::Secrets::read(&settings.keys).map(|_| ())
}
