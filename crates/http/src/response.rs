//! Responses, on both sides.

use http_types::StatusCode;
use serde::Serialize;

use crate::{Body, Headers, Sender};

/// A response: one that came, or one to send.
#[derive(Debug)]
pub struct Response {
    /// The status.
    pub status: StatusCode,
    /// Header fields; the length, transfer coding and date are written by this crate.
    pub headers: Headers,
    /// The body.
    pub body: Body,
}

impl Response {
    /// A response without body.
    #[must_use]
    pub fn new(status: StatusCode) -> Self {
        Self {
            status,
            headers: Headers::default(),
            body: Body::empty(),
        }
    }

    /// A response with `value` as JSON.
    #[must_use]
    pub fn json<T: Serialize + ?Sized>(status: StatusCode, value: &T) -> Self {
        Self::new(status)
            .header("content-type", "application/json")
            .body(Body::json(value))
    }

    /// A response of plain text.
    #[must_use]
    pub fn text(status: StatusCode, text: impl Into<String>) -> Self {
        Self::new(status)
            .header("content-type", "text/plain; charset=utf-8")
            .body(Body::bytes(text.into()))
    }

    /// A stream of server-sent events and the end into which they are put.
    ///
    /// Up to `capacity` pieces wait for a slow caller before the sender does.
    #[must_use]
    pub fn events(capacity: usize) -> (Sender, Self) {
        let (sender, body) = Body::channel(capacity);
        let response = Self::new(StatusCode::Ok)
            .header("content-type", "text/event-stream")
            .header("cache-control", "no-cache")
            .body(body);
        (sender, response)
    }

    /// Sets a header.
    #[must_use]
    pub fn header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.set(name, value);
        self
    }

    /// Sets the body.
    #[must_use]
    pub fn body(mut self, body: Body) -> Self {
        self.body = body;
        self
    }
}
