//! Membership, gossip, configuration distribution and evidence exchange between
//! hosts, as a state machine without I/O: its input is events and the current
//! time, its output is a list of actions.
//!
//! `docs/design/membership.md` describes the protocol and its design.

mod action;
mod announcements;
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
