//! Parsers and builders for the HTTP interface to callers and operators.
//!
//! The crate performs no I/O and reads no clock. It parses bytes and header
//! values into typed values or a [`problem::Problem`]. The protocol is described
//! in `docs/PROTOCOLS.md`.

pub mod call;
pub mod chat;
pub mod hosts;
pub mod operator;
pub mod problem;
mod seal;
pub mod session;
pub mod sse;
pub mod ticket;
