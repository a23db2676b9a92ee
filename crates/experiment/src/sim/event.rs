use std::{sync::Arc, time::Duration};

use crate::{
    attempt::AttemptKey,
    configuration::Configuration,
    endpoint::Load,
    ratings::Rating,
    router::{End, News},
};

/// What the virtual clock brings.
#[derive(Debug)]
pub(super) enum Event {
    Arrive(usize),
    /// The caller stops waiting.
    GiveUp(usize),
    /// An attempt reaches its endpoint.
    Submit(AttemptKey),
    /// The endpoint sends the first token.
    FirstToken(AttemptKey),
    /// The endpoint is done with an attempt.
    Finish(AttemptKey),
    /// The host learns how an attempt ended.
    Ended(AttemptKey, End),
    Timeout(AttemptKey),
    /// All endpoints report their load to one host.
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
