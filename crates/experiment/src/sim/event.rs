use std::{sync::Arc, time::Duration};

use crate::{
    attempt::AttemptKey,
    configuration::Configuration,
    endpoint::Load,
    ratings::Rating,
    router::{End, News},
};

/// An event on the virtual clock.
#[derive(Debug)]
pub(super) enum Event {
    Arrive(usize),
    /// The caller stops waiting.
    GiveUp(usize),
    /// An attempt reaches its endpoint.
    Submit(AttemptKey),
    /// The host receives the first token.
    FirstToken(AttemptKey),
    /// The endpoint finishes an attempt.
    Finish(AttemptKey),
    /// The host learns the outcome of an attempt.
    Ended(AttemptKey, End),
    Timeout(AttemptKey),
    /// All live endpoints report their load to one host.
    Report {
        host: usize,
    },
    /// A host reads a load report.
    Load {
        host: usize,
        endpoint: usize,
        load: Load,
        age: Duration,
    },
    Endpoint {
        endpoint: usize,
        incarnation: u64,
        up: bool,
    },
    Rated(Rating),
    News {
        from: usize,
        news: Arc<News>,
    },
    Configured(Arc<Configuration>),
    FaultBegins(usize),
    FaultEnds(usize),
    Tick {
        host: usize,
    },
}
