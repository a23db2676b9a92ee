//! Leases for single-holder jobs; see `docs/design/lease.md`.
//!
//! A [`Lease`] is the state machine of one candidate. It does no IO: the driver passes in the
//! table's responses and performs the actions.

mod action;
mod event;
mod row;
mod state;
mod tuning;

pub use action::Action;
pub use event::{Event, Written};
pub use row::Row;
pub use state::{Denied, Fencing, FencingCheck, Lease};
pub use tuning::Tuning;
