//! Settings of a deployment.

use std::time::Duration;

use kernel::DataCentre;

use crate::LoadPolicy;

/// Settings of a deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The host's data centre. Endpoints in it are preferred, to save traffic.
    pub data_centre: DataCentre,
    /// The retries that all hosts together may send to a service, per request. Hosts use only part
    /// of this allowance.
    pub retry_ratio: f64,
    /// The retries in a window that all hosts together may send in addition to the ratio. Hosts use
    /// only part of this allowance.
    pub retry_slack: f64,
    /// The sliding window over which retries and requests are counted.
    pub retry_window: Duration,
    /// The fraction of a service's requests that a release on trial may receive.
    pub exposure_share: f64,
    /// The interval at which endpoints renew their entries in the store.
    pub heartbeat: Duration,
    /// The time within which hosts must follow changes in the store.
    pub max_propagation_delay: Duration,
    /// The longest pause between two requests of a session.
    pub session_gap: Duration,
    /// The handling of load at services whose endpoints report no [`Pace`](crate::Pace).
    pub load_policy: LoadPolicy,
}
