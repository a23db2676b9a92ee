//! Tests of the circuit and the row keys, which are pure, and of the clients
//! against scripted services.

mod calls;
mod circuit;
#[path = "../../../http/tests/suite/message.rs"]
mod message;
mod row;
