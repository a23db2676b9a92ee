//! The entry host daemon: the services that join the crates of this
//! workspace into one process. See `docs/ARCHITECTURE.md`.

mod current;
mod error;
pub mod event;
mod host;
pub mod log;
pub mod metrics;
mod policy;
mod secrets;
mod service;

pub use error::Error;
