//! The entry host daemon: the services that run the crates of this workspace in one process. See
//! `docs/ARCHITECTURE.md`.

mod backlog;
mod call;
mod caller_api;
mod contact;
mod context;
mod current;
mod daemon;
mod error;
pub mod event;
mod gauges;
mod host;
pub mod log;
pub mod metrics;
mod operator_api;
mod policy;
mod renew;
mod reply;
mod secrets;
mod service;
pub mod tuning;
mod verdicts;

pub use daemon::Daemon;
pub use error::Error;
pub use service::drain::DrainOutcome;

/// Checks that the key files named in the settings can be used.
///
/// Reads them and binds a link on a free loopback port, which is closed again.
///
/// # Errors
/// Returns [`Error::Key`] with the file that can't be read or is empty, or [`Error::Link`] if the
/// keys of the link can't be used or it can't be bound.
pub fn check_keys(settings: &config::Settings) -> Result<(), error_stack::Report<Error>> {
    use error_stack::ResultExt;

    let secrets = secrets::Secrets::read(&settings.keys)?;
    let anywhere = (std::net::Ipv4Addr::LOCALHOST, 0).into();
    link::Link::bind(&link::Settings::new(anywhere, secrets.fleet))
        .map(|_| ())
        .change_context(Error::Link)
}
