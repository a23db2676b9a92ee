//! The chores of this repository, as `cargo xtask <chore>`.
//!
//! Chores may start processes; nothing else in this workspace does. See
//! `docs/DEVELOPERS.md`.

pub mod caller;
pub mod error;
pub mod reconcile;
pub mod workload;
