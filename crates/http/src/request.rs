//! Requests, on both sides.

use std::fmt;

use futures::FutureExt;
use futures::channel::oneshot;
use futures::future::Shared;
use http_types::{Method, Url};
use serde::Serialize;

use crate::{Body, Headers};

/// A request: one to send, or one that came in.
#[derive(Debug)]
pub struct Request {
    /// The method.
    pub method: Method,
    /// Path and query, as they stand in the request line.
    pub target: String,
    /// Header fields; the length, transfer coding and host are written by this crate.
    pub headers: Headers,
    /// The body, empty for most methods.
    pub body: Body,
    /// Tells when the caller of a request that came in is gone. Never, for
    /// a request to send.
    pub hangup: Hangup,
}

impl Request {
    /// A request without body.
    #[must_use]
    pub fn new(method: Method, target: impl Into<String>) -> Self {
        Self {
            method,
            target: target.into(),
            headers: Headers::default(),
            body: Body::empty(),
            hangup: Hangup::never(),
        }
    }

    /// A `GET`.
    #[must_use]
    pub fn get(target: impl Into<String>) -> Self {
        Self::new(Method::Get, target)
    }

    /// A `POST` with `value` as JSON.
    #[must_use]
    pub fn post<T: Serialize + ?Sized>(target: impl Into<String>, value: &T) -> Self {
        Self::new(Method::Post, target).json(value)
    }

    /// Sets the body to `value` as JSON.
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

    /// The path without the query.
    #[must_use]
    pub fn path(&self) -> &str {
        self.target
            .split_once('?')
            .map_or(&self.target, |(path, _)| path)
    }

    /// The query's value for `name`, percent-decoded.
    #[must_use]
    pub fn query(&self, name: &str) -> Option<String> {
        let url = Url::parse("http://host/").ok()?.join(&self.target).ok()?;
        url.query_pairs()
            .find(|(it, _)| it == name)
            .map(|(_, value)| value.into_owned())
    }
}

/// Tells that the caller closed its connection before it got its whole answer.
///
/// A caller that only closes its sending side counts as gone: it can't be told
/// from one that went away.
#[derive(Clone)]
pub struct Hangup {
    closed: Option<Shared<oneshot::Receiver<()>>>,
}

impl Hangup {
    pub(crate) fn never() -> Self {
        Self { closed: None }
    }

    pub(crate) fn new() -> (oneshot::Sender<()>, Self) {
        let (sender, closed) = oneshot::channel();
        let closed = Some(closed.shared());
        (sender, Self { closed })
    }

    /// Completes when the caller is gone, and never otherwise.
    pub async fn wait(&self) {
        match &self.closed {
            Some(closed) if closed.clone().await.is_ok() => {}
            _ => futures::future::pending().await,
        }
    }
}

impl fmt::Debug for Hangup {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Hangup(..)")
    }
}
