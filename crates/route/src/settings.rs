//! The figures that a deployment sets for the decisions.

use std::time::Duration;

use kernel::DataCentre;

/// The figures that a deployment sets for the decisions.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Where this host is; nearer endpoints cost less traffic.
    pub data_centre: DataCentre,
    /// Repeats that all hosts together may send to a service, for each request for it.
    pub retry_ratio: f64,
    /// Repeats that are allowed beside the ratio, of all hosts together.
    pub retry_slack: f64,
    /// The span over which repeats and requests are counted.
    pub retry_window: Duration,
    /// The share of a service's requests that an unproven release may get.
    pub exposure_share: f64,
    /// Requests that an unproven release may get beside the share.
    pub exposure_slack: f64,
    /// How soon hosts follow what the store has, at the latest.
    pub follow: Duration,
    /// The longest pause between two requests of one session.
    pub session_gap: Duration,
}
