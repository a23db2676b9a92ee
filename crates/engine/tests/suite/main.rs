//! Tests of the stream reader, as a pure parser, and of the client against scripted endpoints.

mod client;
mod reader;
mod sse;
