//! Developer tasks, run as `cargo xtask <task>`. See `docs/DEVELOPERS.md`.

pub mod caller;
pub mod capacity;
pub mod days;
pub mod demo;
pub mod error;
pub mod experiment;
pub mod load;
pub mod reconcile;
pub mod site;
pub mod site_task;
pub mod soak;
pub mod workload;
pub mod worth;
