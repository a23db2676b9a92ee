//! Tests of the client and the server, each against raw peers and against each other.

mod client;
mod message;
mod order;
mod round_trip;
mod server;
mod support;
