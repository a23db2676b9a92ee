//! Forwards requests from callers to endpoints as `route` decides.
//!
//! This crate has the sockets and timeouts; `route` makes the decisions, and a
//! [`Dialect`] encodes and decodes the headers. Everything runs on one thread: a host
//! has a part of one core, and passing a request between threads costs more than
//! processing it. See `docs/design/relay.md`.

mod attempt;
mod buffers;
mod caller;
mod conn;
mod connections;
mod connector;
mod dialect;
mod event_forwarder;
mod lazy_timeout;
mod listener;
mod node;
mod pool;
mod probe;
mod reach;
mod relay;
mod response_writer;
mod serve;
mod timeouts;
mod upstream;

pub use connector::{Connector, TcpConnector};
pub use dialect::{Dialect, ForwardedFields, RelayedFields, RequestFields, ResponseFields};
pub use listener::Listener;
pub use node::{Node, Phase};
pub use response_writer::LocalResponse;
pub use timeouts::Timeouts;
