//! A stand-in of the host list, whose readers see changes after a lag.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_std::task;
use http_types::Method;
use kernel::Clock;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::call::Call;
use crate::control;
use crate::lagged::Lagged;
use crate::response::Response;

/// The host list. `GET /v1/hosts` returns its state as of the configured lag ago.
pub struct HostList {
    clock: Arc<dyn Clock>,
    inner: Mutex<Inner>,
}

/// An entry of the host list; see `docs/PROTOCOLS.md` for its fields.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Host {
    /// The host's name.
    pub name: String,
    /// `entry`, `engine` or `service`.
    pub kind: String,
    /// The incarnation of the host.
    pub incarnation: u64,
    /// The address that callers or entry hosts connect to.
    pub address: String,
    /// The address that other entry hosts connect to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fleet_address: Option<String>,
    /// The data centre of the host.
    pub data_centre: String,
    /// The region of the data centre.
    pub region: String,
    /// `live` or `leaving`.
    pub state: String,
    /// The plain service that the host serves.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
    /// The versions that the host was started with.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub versions: Vec<String>,
    /// Whether the host refuses orders that carry an old fencing number.
    #[serde(default)]
    pub fences: bool,
}

struct Inner {
    hosts: Lagged<BTreeMap<String, Host>>,
    reads: u64,
    faults: Faults,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Faults {
    outage: bool,
    delay_ms: u64,
    lag_ms: u64,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Change {
    #[serde(default)]
    hosts: Vec<Host>,
    #[serde(default)]
    remove: Vec<String>,
}

impl HostList {
    /// Creates a list whose initial hosts are visible at once.
    #[must_use]
    pub fn new(clock: Arc<dyn Clock>, lag: Duration, hosts: Vec<Host>) -> Self {
        let hosts = hosts.into_iter().map(|it| (it.name.clone(), it)).collect();
        let faults = Faults {
            lag_ms: u64::try_from(lag.as_millis()).unwrap_or(u64::MAX),
            ..Faults::default()
        };
        let inner = Inner {
            hosts: Lagged::new(lag, hosts),
            reads: 0,
            faults,
        };
        Self {
            clock,
            inner: Mutex::new(inner),
        }
    }

    /// Handles one call.
    pub async fn handle(&self, call: &Call) -> Response {
        if call.path.first().is_some_and(|it| it == "v1") {
            let delay = self.with(|it| it.faults.delay_ms);
            task::sleep(Duration::from_millis(delay)).await;
        }
        let now = self.clock.now();
        self.with(|it| it.handle(now, call))
    }

    fn with<T>(&self, work: impl FnOnce(&mut Inner) -> T) -> T {
        work(&mut self.inner.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl Inner {
    fn handle(&mut self, now: Duration, call: &Call) -> Response {
        match (call.method, call.segments().as_slice()) {
            (Method::Post, ["control", "faults"]) => self.update_faults(call),
            (Method::Post, ["control", "hosts"]) => self.change(now, call),
            (Method::Get, ["control", "records"]) => Response::ok(&json!({
                "reads": self.reads,
                "hosts": self.hosts.latest().values().collect::<Vec<_>>(),
            })),
            (_, ["v1", ..]) if self.faults.outage => Response::error(503, "outage"),
            (Method::Get, ["v1", "hosts"]) => {
                self.reads += 1;
                let hosts = self.hosts.visible_at(now);
                Response::ok(&json!({ "hosts": hosts.values().collect::<Vec<_>>() }))
            }
            _ => Response::error(404, "not_found"),
        }
    }

    fn update_faults(&mut self, call: &Call) -> Response {
        let response = control::update_faults(&mut self.faults, call);
        self.hosts
            .set_lag(Duration::from_millis(self.faults.lag_ms));
        response
    }

    fn change(&mut self, now: Duration, call: &Call) -> Response {
        let change: Change = match call.json() {
            Ok(it) => it,
            Err(response) => return response,
        };
        let mut hosts = self.hosts.latest().clone();
        for name in &change.remove {
            hosts.remove(name);
        }
        hosts.extend(change.hosts.into_iter().map(|it| (it.name.clone(), it)));
        self.hosts.set(now, hosts);
        Response::ok(&json!({}))
    }
}
