//! Parameters of the decisions.

use std::time::Duration;

use kernel::HostName;

/// Parameters of the decisions.
#[derive(Clone, Debug)]
pub struct Tuning {
    /// The name of this host, which determines the subset of the endpoints that it uses.
    pub host: HostName,
    /// The interval between `Tick` events.
    pub tick: Duration,
    /// The maximum number of attempts of a request, including all its steps, retries and hedges.
    pub max_attempts: u32,
    /// The retry budget earned per request, shared by retries and hedges.
    pub retry_share: f64,
    /// The prior share of wrong ratings, which the ratings received correct.
    pub rating_noise: f64,
    /// The maximum number of responses sent to the rating service per second.
    pub sample_rate: f64,
    /// The maximum share of responses sent to the rating service once a version and class have
    /// enough ratings.
    pub sample_share: f64,
    /// The share of requests that explore a version outside the plan, before the factors for its
    /// ratings and cost.
    pub explore_share: f64,
    /// The queue length for one version or service at this host. At each priority, a customer's
    /// limit is twice its weight's share of this length, at most this length, but never less than
    /// 4 requests. All customers together may queue at most twice this length.
    pub queue_length: usize,
    /// The treatment of sessions whose version is quarantined.
    pub pinned_sessions: PinnedSessions,
}

/// The treatment of sessions whose version is quarantined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PinnedSessions {
    /// A session keeps its version until the version is withdrawn.
    Keep,
    /// A session is moved to another version, as if its own were withdrawn.
    Move,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            host: HostName::from("host"),
            tick: Duration::from_millis(100),
            max_attempts: 5,
            retry_share: 0.1,
            rating_noise: 0.05,
            sample_rate: 50.0,
            sample_share: 0.5,
            explore_share: 0.06,
            queue_length: 256,
            pinned_sessions: PinnedSessions::Keep,
        }
    }
}
