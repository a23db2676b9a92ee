//! At-most-once execution and billing, as a state machine without IO.
//!
//! [`Ledger::handle`] takes an event and returns actions, so tests and the daemon drive it alike.
//! For the design see [ledger.md](../../../docs/design/ledger.md), and
//! [lease.md](../../../docs/design/lease.md) for single-holder jobs.

pub mod lease;
pub mod measure;
pub mod table;

mod action;
mod admission;
mod arrival;
mod batch_writer;
mod calls;
mod claim_updates;
mod context;
mod core;
mod encoded_record;
mod event;
mod ledger;
mod message;
mod outcome;
mod peer;
mod peers;
mod pending;
mod received_copies;
mod record;
mod refusal;
mod registry;
mod rows;
mod settler;
mod status;
mod ticket;
mod timers;
mod tuning;

pub use action::{Action, Durability};
pub use arrival::{Arrival, Fingerprint, RetryPolicy, Via};
pub use event::{End, Event, ForwardResult};
pub use ledger::Ledger;
pub use message::Message;
pub use outcome::Outcome;
pub use peer::{Peer, PeerState, Reach};
pub use record::{Charge, Record, Replay, Serial};
pub use refusal::{Reason, Refusal, Run};
pub use status::{Counters, Status};
pub use ticket::Ticket;
pub use tuning::Tuning;
