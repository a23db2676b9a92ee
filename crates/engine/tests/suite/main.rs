//! Tests of the stream reader, as a pure parser, and of the client against scripted endpoints.

mod client;
#[path = "../../../http/tests/suite/message.rs"]
mod message;
mod reader;
mod sse;
