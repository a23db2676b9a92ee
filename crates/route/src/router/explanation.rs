//! Explanations of where a request would go.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kernel::{Customer, DataCentre, EndpointId, ModelName, Release, ServiceName};
use serde::{Deserialize, Serialize};

use super::{Denial, Exclusion, Leniency, Score};
use crate::RequestRate;
use crate::reach;
use crate::rollout::{Side, Verdict};

/// Where a request would go now, and why. See `docs/design/explain.md`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Explanation {
    /// It wouldn't be admitted.
    Denied(Denial),
    /// It would be admitted.
    Admitted(Box<Prospect>),
}

/// Where an admitted request would go now, and why.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Prospect {
    /// The route that matches.
    pub route: Arc<str>,
    /// The customer, if the route requires a key.
    pub customer: Option<Customer>,
    /// The service that handles the request.
    pub service: ServiceName,
    /// The priority with which the endpoint would be sent the request; 0 is the most urgent.
    pub priority: u8,
    /// The model of the first attempt, if the route chooses it.
    pub model: Option<ModelName>,
    /// The release that the request is assigned to, if its service has a roll-out.
    pub assignment: Option<Assignment>,
    /// Whether this host reaches endpoints. While it doesn't, it forwards requests through another
    /// host.
    pub reach: reach::State,
    /// The strictest filter that leaves a candidate; the most lenient one if none does.
    pub leniency: Leniency,
    /// The range of the random term, which is zero in the scores here.
    pub random_range: f64,
    /// The endpoints that may get the request, by total score: the one that would be chosen first,
    /// but for the random term.
    pub candidates: Vec<Candidate>,
    /// The other endpoints of the service, by ID.
    pub excluded: Vec<Excluded>,
    /// If there is no candidate, the time after which the caller would be asked to retry.
    #[serde(rename = "retry_after_ms", with = "crate::millis::optional")]
    pub retry_after: Option<Duration>,
    /// This host's share of the connections that each endpoint accepts.
    pub connections: Option<u32>,
    /// The number of live hosts that this host knows, including itself.
    pub live_hosts: u32,
    /// The number of retries that this host may still send to the service now; `None` if it has
    /// received no request for it.
    pub retries_left: Option<f64>,
    /// The version of the configuration.
    pub config: Option<u64>,
    /// The age of the listing of endpoints.
    #[serde(rename = "listing_age_ms", with = "crate::millis::optional")]
    pub listing_age: Option<Duration>,
}

/// The release that a roll-out assigns a request to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Assignment {
    /// The assigned side.
    pub side: Side,
    /// The side that the candidates are on. It differs from the assigned one if that has no
    /// candidate.
    pub used: Side,
    /// The release that is rolled out.
    pub release: Release,
    /// The roll-out's verdict.
    pub verdict: Verdict,
    /// The share of requests that goes to the new release.
    pub share: f64,
}

/// An endpoint that may get a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Candidate {
    /// The endpoint's ID.
    pub id: EndpointId,
    /// The endpoint's address.
    pub address: SocketAddr,
    /// The data centre that it is in.
    pub data_centre: DataCentre,
    /// The release that it runs.
    pub release: Release,
    /// The terms of its score. The random term is zero.
    pub score: Score,
    /// Their sum.
    pub total: f64,
    /// Whether the random term can make it the chosen one.
    pub may_be_chosen: bool,
    /// Its estimated utilization.
    pub utilization: f64,
    /// The age of its last load report.
    #[serde(rename = "load_age_ms", with = "crate::millis::optional")]
    pub load_age: Option<Duration>,
    /// The number of requests of this host in flight there.
    pub in_flight: u32,
    /// The number of requests that it can run concurrently.
    pub slots: u32,
    /// The rate that it states for all hosts together.
    pub rate_limit: Option<RequestRate>,
}

/// An endpoint that gets no attempt of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Excluded {
    /// The endpoint's ID.
    pub id: EndpointId,
    /// The endpoint's address.
    pub address: SocketAddr,
    /// The data centre that it is in.
    pub data_centre: DataCentre,
    /// The release that it runs.
    pub release: Release,
    /// The reason.
    pub reason: Exclusion,
}
