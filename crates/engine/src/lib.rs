//! Clients of model engines and plain services, as `docs/PROTOCOLS.md`
//! describes them.
//!
//! Every call ends in an answer or a [`Failure`], which tells whether the call
//! can have run. A streamed answer is checked as it comes: it belongs to the
//! attempt that asked for it, has no gap and no repeat, and is whole only with
//! its end mark. Two attempts can therefore never be spliced into one answer.

mod attempt;
mod chat;
mod client;
mod failure;
mod load;
mod order;
mod plain;
pub mod sse;

pub use attempt::{Attempt, Endpoint, Priority};
pub use chat::{Answer, Chat, Fault, Progress, Reader, Stream, Usage};
pub use client::Client;
pub use failure::{Code, Failure, Why};
pub use load::{Load, State, VersionLoad, VersionState};
pub use order::{Order, Receipt, Wanted};
pub use plain::Call;
