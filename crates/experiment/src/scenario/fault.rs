use std::time::Duration;

use crate::truth::VersionIdx;

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Fault {
    /// A share of a version's answers is bad.
    Bad {
        version: VersionIdx,
        share: f64,
        manner: Manner,
    },
    /// A version loses this share of its good answers, evenly over the event's length.
    Drift { version: VersionIdx, loss: f64 },
    /// Operators withdraw a version.
    Withdrawn { version: VersionIdx },
    /// Operators start the roll-out of a version in place of another.
    Rollout {
        version: VersionIdx,
        replaces: VersionIdx,
    },
    /// Only this share of the model replicas is left.
    Capacity { share: f64 },
    /// Ratings come this much later.
    RatingsLate { by: Duration },
    /// No ratings come.
    RatingsOut,
    /// Load reports are this much older.
    LoadStale { by: Duration },
    /// One customer sends this many times its usual traffic.
    Flood { customer: usize, times: f64 },
    /// All model traffic is this many times the usual.
    Surge { times: f64 },
    /// An entry host is gone.
    HostLost { host: usize },
    /// An entry host is replaced by an empty one.
    HostReplaced { host: usize },
}

/// How a bad answer looks to the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Manner {
    /// Its confidence is drawn as for any bad answer.
    Plain,
    /// Its confidence is drawn as for a good answer: only ratings tell.
    Confident,
    /// It isn't an answer: the engine fails.
    Error,
}
