//! A route.

use std::sync::Arc;
use std::time::Duration;

use kernel::{ModelName, ServiceName};

/// What becomes of requests to a host whose path begins with a prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: Arc<str>,
    /// The host, in lower case and without a port.
    pub host: String,
    /// The path's beginning; it begins and ends with a slash.
    pub prefix: String,
    /// The services that its requests go to.
    pub targets: Vec<Target>,
    /// Whether its requests may run more than once.
    pub repeat: Repeat,
    /// What its answers look like.
    pub answer: Answer,
    /// The most endpoints that one request may be sent to.
    pub attempts: u32,
    /// The longest that a caller is kept waiting.
    pub timeout: Duration,
    /// The time within which an answer has its full worth; for a stream, its first event.
    pub aim: Duration,
    /// Its rank, the most urgent 0.
    pub priority: u8,
    /// Who may use it.
    pub access: Access,
    /// The models that may answer, the smallest first; empty where the caller names one.
    pub models: Vec<ModelName>,
}

/// A service that a part of a route's requests goes to.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// The service.
    pub service: ServiceName,
    /// Its part, relative to the other targets'.
    pub weight: f64,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// It may: a second run changes nothing.
    Idempotent,
    /// It runs once at most.
    AtMostOnce,
}

/// What answers look like.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// One body.
    Whole,
    /// A series of events; `pause` is the longest between two that is on time.
    Stream {
        /// The longest pause.
        pause: Duration,
    },
}

/// Who may use a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    /// Everyone.
    Public,
    /// Holders of a customer's key.
    Keyed,
}

impl Route {
    /// Whether the answer is a stream.
    #[must_use]
    pub fn is_stream(&self) -> bool {
        matches!(self.answer, Answer::Stream { .. })
    }

    /// The service for a request, by a number from 0 to 1 that belongs to it.
    ///
    /// The same number gives the same service, so that a session stays where it is.
    #[must_use]
    pub fn service(&self, number: f64) -> Option<&ServiceName> {
        let total: f64 = self.targets.iter().map(|it| it.weight).sum();
        let mut left = number * total;
        for it in &self.targets {
            left -= it.weight;
            if left < 0.0 {
                return Some(&it.service);
            }
        }
        self.targets.last().map(|it| &it.service)
    }
}
