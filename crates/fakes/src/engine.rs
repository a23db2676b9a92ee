//! A stand-in of a model engine, which generates marked responses at a configured rate.

mod cache;
mod execution;
mod faults;
mod generation;
mod prompt;
mod versions;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures::channel::mpsc;
use http_types::Method;
use kernel::Clock;
use serde::Deserialize;
use serde_json::json;

use crate::call::Call;
use crate::control;
use crate::engine::cache::PrefixCache;
use crate::engine::faults::Faults;
use crate::engine::generation::Generation;
use crate::engine::prompt::Prompt;
use crate::engine::versions::{LoadedVersions, TargetState};
use crate::lagged::Lagged;
use crate::plain_service::millis;
use crate::response::Response;
use crate::settings::{EngineSettings, GroundTruth};
use crate::slots::Slots;

pub use execution::{Execution, ExecutionState};

/// Maximum number of buffered events of a stream; generation waits while the buffer is full.
const STREAM_BUFFER: usize = 64;

/// A model engine. Clones share their state.
#[derive(Clone)]
pub struct Engine {
    shared: Arc<Shared>,
}

struct Shared {
    clock: Arc<dyn Clock>,
    settings: EngineSettings,
    truth: BTreeMap<String, GroundTruth>,
    seed: u64,
    slots: Slots,
    inner: Mutex<Inner>,
}

struct Inner {
    executions: Vec<Execution>,
    refusals: BTreeMap<String, u64>,
    cancels: Vec<String>,
    versions: LoadedVersions,
    load: Lagged<(usize, usize)>,
    cache: PrefixCache,
    faults: Faults,
}

#[derive(Debug, Deserialize)]
struct Order {
    fencing: u64,
    version: String,
    wanted: TargetState,
}

impl Engine {
    /// Creates an engine with the versions of its settings loaded.
    #[must_use]
    pub fn new(
        clock: Arc<dyn Clock>,
        settings: EngineSettings,
        truth: BTreeMap<String, GroundTruth>,
        seed: u64,
    ) -> Self {
        let inner = Inner {
            executions: Vec::new(),
            refusals: BTreeMap::new(),
            cancels: Vec::new(),
            versions: LoadedVersions::new(&settings),
            load: Lagged::new(Duration::from_millis(settings.load_lag_ms), (0, 0)),
            cache: PrefixCache::new(settings.prefixes),
            faults: Faults::new(settings.incarnation),
        };
        let shared = Shared {
            clock,
            slots: Slots::new(settings.slots, settings.queue),
            settings,
            truth,
            seed,
            inner: Mutex::new(inner),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Handles one call.
    pub async fn handle(&self, call: &Call) -> Response {
        let now = self.shared.clock.now();
        match (call.method, call.segments().as_slice()) {
            (Method::Post, ["v1", "chat", "completions"]) => self.chat(call).await,
            (Method::Get, ["v1", "load"]) => self.load(now),
            (Method::Post, ["v1", "orders"]) => self.shared.with(|it| it.order(now, call)),
            (Method::Delete, ["v1", "attempts", id]) => self.shared.with(|it| it.cancel(id)),
            (Method::Post, ["control", "faults"]) => self
                .shared
                .with(|it| control::update_faults(&mut it.faults, call)),
            (Method::Get, ["control", "records"]) => self.shared.with(|it| it.records()),
            _ => Response::error(404, "not_found"),
        }
    }

    async fn chat(&self, call: &Call) -> Response {
        let prompt: Prompt = match call.json() {
            Ok(it) => it,
            Err(response) => return response,
        };
        let now = self.shared.clock.now();
        if let Some(code) = self.shared.with(|it| it.refusal(now, call, &prompt)) {
            return self.refuse(&code);
        }
        let Some(slot) = self.shared.slots.acquire(call.header("x-priority")).await else {
            return self.refuse("overloaded");
        };
        self.record_load();
        let stream = prompt.stream;
        let generation = Generation::new(self.clone(), slot, call, &prompt);
        if stream {
            let (sender, events) = mpsc::channel(STREAM_BUFFER);
            async_std::task::spawn(generation.stream(sender));
            return Response::Events(events);
        }
        generation.respond().await
    }

    fn refuse(&self, code: &str) -> Response {
        self.shared
            .with(|it| *it.refusals.entry(code.to_owned()).or_default() += 1);
        Response::error(503, code)
    }

    fn load(&self, now: Duration) -> Response {
        let settings = &self.shared.settings;
        self.shared.with(|it| {
            let (running, waiting) = *it.load.visible_at(now);
            Response::ok(&json!({
                "name": settings.name,
                "incarnation": it.faults.incarnation,
                "state": if it.faults.leaving { "leaving" } else { "live" },
                "running": running,
                "waiting": waiting,
                "slots": settings.slots,
                "versions": it.versions.report(now),
                "age_ms": settings.load_lag_ms,
            }))
        })
    }

    fn record_load(&self) {
        let now = self.shared.clock.now();
        let load = (self.shared.slots.running(), self.shared.slots.waiting());
        self.shared.with(|it| it.load.set(now, load));
    }
}

impl Shared {
    fn with<T>(&self, work: impl FnOnce(&mut Inner) -> T) -> T {
        work(&mut self.inner.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn wall_ms(&self) -> u64 {
        millis(self.clock.wall())
    }
}

impl Inner {
    fn refusal(&mut self, now: Duration, call: &Call, prompt: &Prompt) -> Option<String> {
        let target_incarnation = call.header("x-incarnation");
        if let Some(code) = &self.faults.refuse {
            return Some(code.clone());
        }
        if !target_incarnation.is_empty()
            && target_incarnation.parse() != Ok(self.faults.incarnation)
        {
            return Some("wrong_incarnation".to_owned());
        }
        if self.faults.leaving {
            return Some("leaving".to_owned());
        }
        (!self.versions.is_loaded(now, &prompt.model)).then(|| "not_loaded".to_owned())
    }

    fn order(&mut self, now: Duration, call: &Call) -> Response {
        let order: Order = match call.json() {
            Ok(it) => it,
            Err(response) => return response,
        };
        match self
            .versions
            .order(now, order.fencing, &order.version, order.wanted)
        {
            Ok(()) => Response::ok(&json!({})),
            Err(highest) => Response::json(
                409,
                &json!({"error": {"code": "stale_fencing", "highest": highest}}),
            ),
        }
    }

    /// Marks a running attempt as cancelled. A stream then stops before its next chunk; any other
    /// response is generated completely and dropped.
    fn cancel(&mut self, attempt: &str) -> Response {
        self.cancels.push(attempt.to_owned());
        for it in &mut self.executions {
            if it.attempt == attempt && it.end == ExecutionState::Running {
                it.end = ExecutionState::Cancelled;
            }
        }
        Response::ok(&json!({}))
    }

    fn records(&self) -> Response {
        Response::ok(&json!({
            "executions": self.executions,
            "refusals": self.refusals,
            "cancels": self.cancels,
            "loads": self.versions.applied(),
            "cache_hits": self.cache.hits(),
        }))
    }
}
