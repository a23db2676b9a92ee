//! HTTP/1.1 client and server around `async-h1`.
//!
//! The client pools connections, and its errors tell whether a request may have reached its
//! peer. The server enforces limits on what peers may send. The public API hides `async-h1`, so
//! that it can be replaced, but re-exports `Method` and `StatusCode` of `http-types`; see
//! `docs/PROTOCOLS.md` for the protocols on top of HTTP.

mod body;
mod client;
mod conn;
mod copy;
mod deadline;
mod error;
mod h1;
mod headers;
mod request;
mod response;
mod server;
mod write;

pub use body::{Body, Sender};
pub use client::{Client, Options, PoolLimits, RetryPolicy};
pub use error::{Cause, Error};
pub use headers::Headers;
pub use http_types::{Method, StatusCode as Status};
pub use request::{Disconnect, Request};
pub use response::Response;
pub use server::{Drained, Limits, Server};
