//! A small test language over real processes: a script starts entry hosts and
//! stand-ins, brings about failures and prints what callers and stand-ins saw.
//!
//! `docs/scripts.md` teaches the language. This crate starts processes and
//! so is for tests only; it judges nothing itself: the golden text beside each
//! command does.

mod call;
mod client;
mod command;
mod defaults;
mod host;
mod limit;
mod load;
mod records;
mod relay;
mod soak;
mod stage;
mod world;

pub use soak::{Report, soak};
pub use stage::Stage;
