//! Tests of the event parser, the stream reader and the client against scripted endpoints.

mod client;
#[path = "../../../http/tests/suite/message.rs"]
mod message;
mod reader;
mod sse;
