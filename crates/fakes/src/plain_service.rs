//! A stand-in of a plain service's endpoint, which counts the calls that it executes.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_std::task;
use http_types::Method;
use kernel::Clock;
use rand::RngExt;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::call::Call;
use crate::control;
use crate::lagged::Lagged;
use crate::response::Response;
use crate::rng;
use crate::settings::PlainServiceSettings;
use crate::slots::Slots;

/// An endpoint of a plain service.
pub struct PlainService {
    clock: Arc<dyn Clock>,
    settings: PlainServiceSettings,
    seed: u64,
    slots: Slots,
    inner: Mutex<Inner>,
}

/// An execution of a call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ServiceExecution {
    /// The request's id, as assigned by the entry host.
    pub request: String,
    /// The attempt's id, as assigned by the entry host.
    pub attempt: String,
    /// The caller's name for its call: the string field `call` of the body, else the query
    /// parameter `call`, else the idempotency key.
    pub call: String,
    /// The HTTP method.
    pub method: String,
    /// The path within the service.
    pub path: String,
    /// Start time in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Whether the endpoint gave a successful response.
    pub answered: bool,
}

struct Inner {
    executions: Vec<ServiceExecution>,
    by_call: BTreeMap<String, u64>,
    by_request: BTreeMap<String, u64>,
    refused: u64,
    load: Lagged<(usize, usize)>,
    faults: Faults,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Faults {
    /// Additional duration of each call.
    delay_ms: u64,
    /// The share of calls that get status 500 after they were executed.
    errors: f64,
    /// The number of next calls that are executed but get no response: the connection is closed.
    lose_answers: u64,
    /// Refuses calls with this code, without executing them.
    refuse: Option<String>,
    /// Refuses calls and reports the state `leaving` in the load report.
    leaving: bool,
    /// The endpoint's incarnation; calls that name another one are refused.
    incarnation: u64,
}

impl PlainService {
    /// Creates an endpoint with no records.
    #[must_use]
    pub fn new(clock: Arc<dyn Clock>, settings: PlainServiceSettings, seed: u64) -> Self {
        let faults = Faults {
            incarnation: settings.incarnation,
            ..Faults::default()
        };
        let inner = Inner {
            executions: Vec::new(),
            by_call: BTreeMap::new(),
            by_request: BTreeMap::new(),
            refused: 0,
            load: Lagged::new(Duration::from_millis(settings.load_lag_ms), (0, 0)),
            faults,
        };
        Self {
            clock,
            slots: Slots::new(settings.slots, settings.queue),
            settings,
            seed,
            inner: Mutex::new(inner),
        }
    }

    /// Handles one call.
    pub async fn handle(&self, call: &Call) -> Response {
        match (call.method, call.segments().as_slice()) {
            (Method::Post, ["control", "faults"]) => {
                self.with(|it| control::update_faults(&mut it.faults, call))
            }
            (Method::Get, ["control", "records"]) => self.with(|it| it.records()),
            (Method::Get, ["v1", "load"]) => self.load(),
            _ => self.execute(call).await,
        }
    }

    async fn execute(&self, call: &Call) -> Response {
        if let Some(code) = self.with(|it| it.refusal(call)) {
            return Response::error(503, &code);
        }
        let Some(slot) = self.slots.acquire(call.header("x-priority")).await else {
            self.with(|it| it.refused += 1);
            return Response::error(503, "overloaded");
        };
        self.record_load();
        let execution = ServiceExecution {
            request: call.header("x-request-id").to_owned(),
            attempt: call.header("x-attempt-id").to_owned(),
            call: call_name(call),
            method: call.method.to_string(),
            path: format!("/{}", call.path.join("/")),
            started_ms: millis(self.clock.wall()),
            answered: false,
        };
        let idx = self.with(|it| it.start(execution.clone()));
        let delay = self.with(|it| it.faults.delay_ms) + self.settings.work_ms;
        if delay > 0 {
            task::sleep(Duration::from_millis(delay)).await;
        }
        let draw = rng::keyed(self.seed, &(&execution.request, &execution.attempt)).random::<f64>();
        let response = self.with(|it| it.finish(idx, draw));
        drop(slot);
        self.record_load();
        response
    }

    fn load(&self) -> Response {
        let now = self.clock.now();
        let (state, incarnation, (running, waiting)) = self.with(|it| {
            let state = if it.faults.leaving { "leaving" } else { "live" };
            (state, it.faults.incarnation, *it.load.visible_at(now))
        });
        Response::ok(&json!({
            "name": self.settings.name,
            "incarnation": incarnation,
            "state": state,
            "running": running,
            "waiting": waiting,
            "slots": self.settings.slots,
            "versions": [],
            "age_ms": self.settings.load_lag_ms,
        }))
    }

    fn record_load(&self) {
        let now = self.clock.now();
        let load = (self.slots.running(), self.slots.waiting());
        self.with(|it| it.load.set(now, load));
    }

    fn with<T>(&self, work: impl FnOnce(&mut Inner) -> T) -> T {
        work(&mut self.inner.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl Inner {
    fn refusal(&mut self, call: &Call) -> Option<String> {
        let target_incarnation = call.header("x-incarnation");
        let code = if let Some(code) = &self.faults.refuse {
            code.clone()
        } else if self.faults.leaving {
            "leaving".to_owned()
        } else if !target_incarnation.is_empty()
            && target_incarnation.parse() != Ok(self.faults.incarnation)
        {
            "wrong_incarnation".to_owned()
        } else {
            return None;
        };
        self.refused += 1;
        Some(code)
    }

    fn start(&mut self, execution: ServiceExecution) -> usize {
        *self.by_call.entry(execution.call.clone()).or_default() += 1;
        *self
            .by_request
            .entry(execution.request.clone())
            .or_default() += 1;
        self.executions.push(execution);
        self.executions.len() - 1
    }

    fn finish(&mut self, idx: usize, draw: f64) -> Response {
        if self.faults.lose_answers > 0 {
            self.faults.lose_answers -= 1;
            return Response::Lost;
        }
        if draw < self.faults.errors {
            return Response::error(500, "failed");
        }
        let execution = &mut self.executions[idx];
        execution.answered = true;
        Response::ok(&json!({
            "call": execution.call,
            "path": execution.path,
            "request": execution.request,
            "attempt": execution.attempt,
            "execution": self.by_call[&execution.call],
        }))
    }

    fn records(&self) -> Response {
        Response::ok(&json!({
            "runs": self.executions,
            "by_call": self.by_call,
            "by_request": self.by_request,
            "refused": self.refused,
        }))
    }
}

pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn call_name(call: &Call) -> String {
    let body: Value = serde_json::from_slice(&call.body).unwrap_or_default();
    if let Some(name) = body["call"].as_str() {
        return name.to_owned();
    }
    if let Some(name) = call.query.get("call") {
        return name.clone();
    }
    call.header("idempotency-key").to_owned()
}
