//! Tests of the circuit breaker, the row keys and the clients.

mod calls;
mod circuit;
#[path = "../../../http/tests/suite/message.rs"]
mod message;
mod row;
