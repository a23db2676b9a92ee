//! What callers and operators send and receive, parsed and built at the edge.
//!
//! Nothing here opens a socket or reads a clock: bytes and header values come
//! in, typed values or a [`problem::Problem`] go out. The protocol is in
//! `docs/PROTOCOLS.md`.

pub mod call;
pub mod chat;
pub mod hosts;
pub mod operator;
pub mod problem;
mod seal;
pub mod session;
pub mod sse;
pub mod ticket;
