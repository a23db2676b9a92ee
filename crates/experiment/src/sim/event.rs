use std::{sync::Arc, time::Duration};

use crate::{
    attempt::AttemptKey,
    configuration::Configuration,
    endpoint::Load,
    rating_service::Rating,
    router::{AttemptOutcome, GossipUpdate},
};

/// An event on the virtual clock.
#[derive(Debug)]
pub(super) enum Event {
    Arrive(usize),
    /// The caller's deadline. It gives up unless it has seen the first token.
    CallerTimeout(usize),
    /// An attempt reaches its endpoint.
    Submit(AttemptKey),
    /// The host receives the first token.
    FirstToken(AttemptKey),
    /// The endpoint finishes an attempt.
    Finish(AttemptKey),
    /// The host learns the outcome of an attempt.
    Ended(AttemptKey, AttemptOutcome),
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
    /// All live hosts learn the state of an endpoint.
    Endpoint {
        endpoint: usize,
        incarnation: u64,
        up: bool,
    },
    /// The host that sent the response receives its rating.
    Rated(Rating),
    /// All live hosts but `from` receive a gossip update.
    Gossip {
        from: usize,
        update: Arc<GossipUpdate>,
    },
    /// All live hosts receive a configuration.
    Configured(Arc<Configuration>),
    FaultBegins(usize),
    FaultEnds(usize),
    Tick {
        host: usize,
    },
}
