//! The entry host daemon: the services that join the crates of this
//! workspace into one process. See `docs/ARCHITECTURE.md`.

pub mod event;
pub mod log;
pub mod metrics;
