//! The entry host daemon: the services that join the crates of this
//! workspace into one process. See `docs/ARCHITECTURE.md`.

mod backlog;
mod call;
mod contact;
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
pub mod tuning;
mod verdicts;

pub use daemon::Daemon;
pub use error::Error;
pub use service::drain::Ended;

/// Reads the key files that the settings name and tries those for the link on
/// a free loopback port. Nothing is kept of them.
///
/// # Errors
/// [`Error::Key`] with the file that can't be used, [`Error::Link`] when the
/// fleet's keys don't fit together.
pub fn check_keys(settings: &config::Settings) -> Result<(), error_stack::Report<Error>> {
    use error_stack::ResultExt;

    let secrets = secrets::Secrets::read(&settings.keys)?;
    let anywhere = (std::net::Ipv4Addr::LOCALHOST, 0).into();
    link::Link::bind(&link::Settings::new(anywhere, secrets.fleet))
        .map(|_| ())
        .change_context(Error::Link)
}
