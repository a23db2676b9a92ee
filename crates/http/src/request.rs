//! Requests of the client and the server.

use std::fmt;

use futures::FutureExt;
use futures::channel::oneshot;
use futures::future::Shared;
use http_types::{Method, Url};
use serde::Serialize;

use crate::{Body, Headers};

/// A request to send, or one that was received.
#[derive(Debug)]
pub struct Request {
    /// The method.
    pub method: Method,
    /// The path and query. In a received request, dot segments of the path are resolved.
    pub target: String,
    /// The header fields. When a request is sent, this crate adds length, transfer coding and
    /// host, and drops fields that concern only one connection.
    pub headers: Headers,
    /// The body.
    pub body: Body,
    /// Notification that the caller of a received request disconnected. See
    /// [`Disconnect::wait`], which never completes for a request to send.
    pub disconnect: Disconnect,
}

impl Request {
    /// Creates a request without a body.
    #[must_use]
    pub fn new(method: Method, target: impl Into<String>) -> Self {
        Self {
            method,
            target: target.into(),
            headers: Headers::default(),
            body: Body::empty(),
            disconnect: Disconnect::never(),
        }
    }

    /// Creates a `GET` request.
    #[must_use]
    pub fn get(target: impl Into<String>) -> Self {
        Self::new(Method::Get, target)
    }

    /// Creates a `POST` request with `value` as JSON.
    #[must_use]
    pub fn post<T: Serialize + ?Sized>(target: impl Into<String>, value: &T) -> Self {
        Self::new(Method::Post, target).json(value)
    }

    /// Sets the body to `value` as JSON, and the content type.
    #[must_use]
    pub fn json<T: Serialize + ?Sized>(mut self, value: &T) -> Self {
        self.headers.set("content-type", "application/json");
        self.body = Body::json(value);
        self
    }

    /// Sets the body.
    #[must_use]
    pub fn body(mut self, body: Body) -> Self {
        self.body = body;
        self
    }

    /// Sets a header.
    #[must_use]
    pub fn header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.set(name, value);
        self
    }

    /// Returns the target without its query.
    #[must_use]
    pub fn path(&self) -> &str {
        self.target
            .split_once('?')
            .map_or(&self.target, |(path, _)| path)
    }

    /// Returns the first value of the query parameter `name`, decoded as a URL-encoded
    /// form.
    #[must_use]
    pub fn query(&self, name: &str) -> Option<String> {
        let url = Url::parse("http://host/").ok()?.join(&self.target).ok()?;
        url.query_pairs()
            .find(|(it, _)| it == name)
            .map(|(_, value)| value.into_owned())
    }
}

/// Notification that the response can't be completed: the caller disconnected, or writing the
/// response failed.
///
/// A disconnect is noticed only once the request's body has been read, and not if more bytes follow
/// the body.
///
/// A caller that closes only its sending side also counts as disconnected, because the server
/// can't tell the difference.
#[derive(Clone)]
pub struct Disconnect {
    closed: Option<Shared<oneshot::Receiver<()>>>,
}

impl Disconnect {
    pub(crate) fn never() -> Self {
        Self { closed: None }
    }

    pub(crate) fn new() -> (oneshot::Sender<()>, Self) {
        let (sender, closed) = oneshot::channel();
        let closed = Some(closed.shared());
        (sender, Self { closed })
    }

    /// Waits for the notification. Never completes if the response is completed, nor for a request
    /// to send.
    pub async fn wait(&self) {
        match &self.closed {
            Some(closed) if closed.clone().await.is_ok() => {}
            _ => futures::future::pending().await,
        }
    }
}

impl fmt::Debug for Disconnect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Disconnect(..)")
    }
}
