use std::time::Duration;

use crate::ground_truth::VersionIdx;

/// A fault, or another change of a scenario.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Fault {
    /// A fault makes this share of a version's responses bad, whether or not they would have been
    /// good.
    Bad {
        version: VersionIdx,
        share: f64,
        failure_mode: FailureMode,
    },
    /// A version loses this share of its good responses, linearly over the event's duration.
    Drift { version: VersionIdx, loss: f64 },
    /// Operators withdraw a version.
    Withdrawn { version: VersionIdx },
    /// Operators start to roll out a version that replaces another.
    Rollout {
        version: VersionIdx,
        replaces: VersionIdx,
    },
    /// Only this share of the replicas of each model pool stays up.
    Capacity { share: f64 },
    /// Ratings are delayed by this additional time.
    RatingsLate { by: Duration },
    /// The rating service accepts no responses.
    RatingsOut,
    /// Load reports are delayed by this additional time.
    LoadStale { by: Duration },
    /// One customer's model traffic is multiplied by this factor.
    Flood { customer: usize, times: f64 },
    /// All model traffic is multiplied by this factor.
    Surge { times: f64 },
    /// An entry host is lost for the rest of the scenario.
    HostLost { host: usize },
    /// An entry host is replaced by one that has lost its requests and its router's state.
    HostReplaced { host: usize },
}

/// The visible effect of a bad response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FailureMode {
    /// The confidence is that of other bad responses.
    Plain,
    /// The confidence is that of good responses, so that only ratings reveal the fault.
    Confident,
    /// The engine fails instead of responding.
    Error,
}
