//! The constants of the decisions.

use std::time::Duration;

use kernel::HostName;

/// The constants of the decisions. The defaults are the ones that were measured.
#[derive(Clone, Debug)]
pub struct Tuning {
    /// This host's name, which chooses its subset of the endpoints.
    pub host: HostName,
    /// How often the driver sends `Tick`.
    pub tick: Duration,
    /// The most attempts that one request gets, over all its steps and retries.
    pub attempts: u32,
    /// Retries and hedges as a share of the requests.
    pub retry_share: f64,
    /// The share of ratings that are taken to be wrong.
    pub rating_noise: f64,
    /// Answers a second that may be sent to the rating service.
    pub sample_rate: f64,
    /// The largest share of answers that is sent to be rated where enough is
    /// known already.
    pub sample_share: f64,
    /// The share of requests on which a version that the plan doesn't use is
    /// tried beside it, where little is known of it.
    pub explore_share: f64,
    /// Requests that may wait for one version or service at this host.
    pub queue: usize,
    /// What becomes of a session whose version is quarantined.
    pub pins: Pins,
}

/// What becomes of a session whose version is quarantined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pins {
    /// It keeps its version until that is withdrawn, as the brief promises.
    Keep,
    /// It is moved once, as at a withdrawal.
    Move,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            host: HostName::from("host"),
            tick: Duration::from_millis(100),
            attempts: 5,
            retry_share: 0.1,
            rating_noise: 0.05,
            sample_rate: 50.0,
            sample_share: 0.5,
            explore_share: 0.06,
            queue: 256,
            pins: Pins::Keep,
        }
    }
}
