//! A test language over real processes: a script starts entry hosts and stand-ins, causes
//! failures and prints the outcomes that callers and stand-ins observed.
//!
//! `docs/scripts.md` describes the language. The output of each command is compared with the
//! golden text in the script. This crate starts processes and is for tests only.

mod call;
mod client;
mod command;
mod defaults;
mod environment;
mod host;
mod load;
mod proxy;
mod records;
mod runner;
mod soak;
mod wait;

pub use runner::ScriptRunner;
pub use soak::{Report, soak};
