//! Membership, news, configuration spread and evidence between hosts, as a
//! pure core: it is told the time and what happened, and answers with what to
//! do. It knows no network and no clock.
//!
//! `docs/design/membership.md` tells how it works and what was weighed.

mod action;
mod board;
mod configuration;
mod cx;
mod event;
mod fleet;
mod gossip;
pub mod measure;
mod members;
mod neighbours;
mod pool;
mod prober;
mod rendezvous;
mod tuning;
mod view;

pub use action::{Action, Change};
pub use event::{Event, Polled, Ruled};
pub use fleet::Fleet;
pub use tuning::Tuning;
