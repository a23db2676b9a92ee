//! Responses of the stand-ins.

use std::io;

use futures::channel::mpsc;
use futures::{StreamExt, TryStreamExt};
use http_types::{Body, StatusCode};
use serde::Serialize;
use serde_json::json;

/// The response of a stand-in to one call.
#[derive(Debug)]
pub enum Response {
    /// A complete body, sent with the content type of JSON.
    Json {
        /// The HTTP status.
        status: u16,
        /// The body.
        body: Vec<u8>,
    },
    /// Server-sent events; an error in the stream cuts the connection.
    Events(mpsc::Receiver<io::Result<Vec<u8>>>),
    /// The connection is closed without a response, as when a host crashes after it did the work or
    /// an attempt is cancelled.
    Lost,
}

impl Response {
    /// Creates a response with status 200 and a JSON body.
    #[must_use]
    pub fn ok<T: Serialize>(value: &T) -> Self {
        Self::json(200, value)
    }

    /// Creates a response with a JSON body, or with status 500 when `value` can't be serialized.
    #[must_use]
    pub fn json<T: Serialize>(status: u16, value: &T) -> Self {
        match serde_json::to_vec(value) {
            Ok(body) => Self::Json { status, body },
            Err(err) => Self::error(500, &err.to_string()),
        }
    }

    /// Creates an error response with a code, in the format of `docs/PROTOCOLS.md`.
    #[must_use]
    pub fn error(status: u16, code: &str) -> Self {
        let body = json!({"error": {"code": code}}).to_string().into_bytes();
        Self::Json { status, body }
    }

    /// Reads the response to its end and returns status and body as text, for tests.
    pub async fn text(self) -> String {
        match self {
            Self::Json { status, body } => {
                format!("{status} {}", String::from_utf8_lossy(&body))
            }
            Self::Events(events) => {
                let parts: Vec<_> = events.collect().await;
                let mut text = String::from("200\n");
                for part in parts {
                    match part {
                        Ok(bytes) => text.push_str(&String::from_utf8_lossy(&bytes)),
                        Err(_) => text.push_str("(cut)\n"),
                    }
                }
                text
            }
            Self::Lost => "(connection closed)".to_owned(),
        }
    }

    /// Converts this to an HTTP response; `None` when the connection is to close without one.
    pub(crate) fn into_http(self) -> Option<http_types::Response> {
        match self {
            Self::Json { status, body } => {
                let status = StatusCode::try_from(status).unwrap_or(StatusCode::Ok);
                let mut res = http_types::Response::new(status);
                res.set_body(body);
                res.insert_header("content-type", "application/json");
                Some(res)
            }
            Self::Events(events) => {
                let mut res = http_types::Response::new(StatusCode::Ok);
                res.set_body(Body::from_reader(events.into_async_read(), None));
                res.insert_header("content-type", "text/event-stream");
                Some(res)
            }
            Self::Lost => None,
        }
    }
}
