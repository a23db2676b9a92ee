//! The mixed work of both organisations, drawn from a seed.

mod item;
mod kind;
mod text;

pub use item::{Item, Plan};
pub use kind::{Kind, Repeat, Route};
pub use text::prompt;
