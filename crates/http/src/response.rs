//! Responses of the client and the server.

use http_types::StatusCode;
use serde::Serialize;

use crate::{Body, Headers, Sender};

/// A response to send, or one that was received.
#[derive(Debug)]
pub struct Response {
    /// The status code.
    pub status: StatusCode,
    /// The header fields. When a response is sent, this crate adds length, transfer coding and
    /// date, and drops fields that concern only one connection.
    pub headers: Headers,
    /// The body.
    pub body: Body,
}

impl Response {
    /// Creates a response without a body.
    #[must_use]
    pub fn new(status: StatusCode) -> Self {
        Self {
            status,
            headers: Headers::default(),
            body: Body::empty(),
        }
    }

    /// Creates a response with `value` as JSON.
    #[must_use]
    pub fn json<T: Serialize + ?Sized>(status: StatusCode, value: &T) -> Self {
        Self::new(status)
            .header("content-type", "application/json")
            .body(Body::json(value))
    }

    /// Creates a plain-text response.
    #[must_use]
    pub fn text(status: StatusCode, text: impl Into<String>) -> Self {
        Self::new(status)
            .header("content-type", "text/plain; charset=utf-8")
            .body(Body::bytes(text.into()))
    }

    /// Creates a response that streams server-sent events, and the sender of its body.
    ///
    /// The sender waits when `capacity` pieces are buffered.
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
