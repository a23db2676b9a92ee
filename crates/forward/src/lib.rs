//! Relays requests between callers and endpoints as `route` decides.
//!
//! Sockets and time-outs are here, decisions are in `route`, and how requests
//! and answers are spelled on the wire is the business of a [`Dialect`]. All of
//! it runs on one thread: a host has a part of one core, and handing a
//! request from thread to thread costs more than the work on it. See
//! `docs/design/relay.md`.

mod answer;
mod attempt;
mod caller;
mod conn;
mod dialect;
mod doubt;
mod front;
mod lull;
mod node;
mod pool;
mod serve;
mod timing;
mod upstream;

pub use answer::Notice;
pub use dialect::{Addressing, Asked, Dialect, Told};
pub use front::Front;
pub use node::{Node, Phase};
pub use timing::Timing;
