//! Tests of the client and the server, against raw sockets and against each other.

mod client;
mod message;
mod order;
mod round_trip;
mod server;
mod support;
