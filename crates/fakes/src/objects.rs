//! A stand-in of the object store.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use async_std::task;
use http_types::Method;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::call::Call;
use crate::control;
use crate::response::Response;

/// An object store, which maps names to bytes.
#[derive(Debug, Default)]
pub struct Objects {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    objects: BTreeMap<String, Vec<u8>>,
    reads: u64,
    writes: u64,
    faults: Faults,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Faults {
    outage: bool,
    delay_ms: u64,
    lose_answers: u64,
}

impl Objects {
    /// Handles one call.
    pub async fn handle(&self, call: &Call) -> Response {
        if call.path.first().is_some_and(|it| it == "v1") {
            let delay = self.with(|it| it.faults.delay_ms);
            task::sleep(Duration::from_millis(delay)).await;
        }
        self.with(|it| it.handle(call))
    }

    fn with<T>(&self, work: impl FnOnce(&mut Inner) -> T) -> T {
        work(&mut self.inner.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl Inner {
    fn handle(&mut self, call: &Call) -> Response {
        match (call.method, call.segments().as_slice()) {
            (Method::Post, ["control", "faults"]) => control::update_faults(&mut self.faults, call),
            (Method::Get, ["control", "records"]) => Response::ok(&json!({
                "reads": self.reads, "writes": self.writes,
                "objects": self.objects.keys().collect::<Vec<_>>(),
            })),
            (_, ["v1", ..]) if self.faults.outage => Response::error(503, "outage"),
            (Method::Put, ["v1", "objects", name]) => self.put(name, &call.body),
            (Method::Get, ["v1", "objects", name]) => self.get(name),
            _ => Response::error(404, "not_found"),
        }
    }

    fn put(&mut self, name: &str, body: &[u8]) -> Response {
        self.writes += 1;
        self.objects.insert(name.to_owned(), body.to_vec());
        if self.faults.lose_answers > 0 {
            self.faults.lose_answers -= 1;
            return Response::Lost;
        }
        Response::ok(&json!({}))
    }

    fn get(&mut self, name: &str) -> Response {
        self.reads += 1;
        match self.objects.get(name) {
            Some(body) => Response::Json {
                status: 200,
                body: body.clone(),
            },
            None => Response::error(404, "not_found"),
        }
    }
}
