//! A mixed workload of both organisations of the demo, generated from a seed.

mod item;
mod kind;
mod text;

pub use item::{Item, Schedule};
pub use kind::{CallRetryPolicy, Kind, Route};
pub use text::prompt;
