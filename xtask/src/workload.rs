//! A mixed workload of both organisations of the demo, generated from a seed.

mod item;
mod kind;
mod text;

pub use item::{Item, Plan};
pub use kind::{Kind, Repeat, Route};
pub use text::prompt;
