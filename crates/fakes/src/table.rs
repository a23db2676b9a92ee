//! A stand-in of the transactional table service.

mod rows;

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use async_std::task;
use http_types::Method;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::call::Call;
use crate::control;
use crate::response::Response;
use crate::table::rows::{Rows, Transaction};

const DEFAULT_SCAN_LIMIT: usize = 1000;

/// A table with atomic transactions, which can simulate outages, delays and lost responses.
#[derive(Debug, Default)]
pub struct Table {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    rows: Rows,
    reads: u64,
    writes: u64,
    refused: u64,
    faults: Faults,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Faults {
    /// Every call under `/v1` gets status 503 and has no effect.
    outage: bool,
    /// Additional duration of each call under `/v1`.
    delay_ms: u64,
    /// The number of next transactions that are executed but get no response: the connection is
    /// closed.
    lose_answers: u64,
}

impl Table {
    /// Handles one call.
    pub async fn handle(&self, call: &Call) -> Response {
        if call.path.first().is_some_and(|it| it == "v1") {
            let delay = self.with(|it| it.faults.delay_ms);
            if delay > 0 {
                task::sleep(Duration::from_millis(delay)).await;
            }
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
            (Method::Get, ["control", "records"]) => self.records(),
            (_, ["v1", ..]) if self.faults.outage => {
                self.refused += 1;
                Response::error(503, "outage")
            }
            (Method::Post, ["v1", "transact"]) => self.transact(call),
            (Method::Get, ["v1", "rows"]) => self.scan(call),
            (Method::Get, ["v1", "rows", key]) => self.get(key),
            _ => Response::error(404, "not_found"),
        }
    }

    fn transact(&mut self, call: &Call) -> Response {
        let transaction: Transaction = match call.json() {
            Ok(it) => it,
            Err(response) => return response,
        };
        self.writes += 1;
        let outcome = self.rows.transact(transaction);
        if self.faults.lose_answers > 0 {
            self.faults.lose_answers -= 1;
            return Response::Lost;
        }
        match outcome {
            Ok(versions) => Response::ok(&json!({ "versions": versions })),
            Err(failed) => Response::json(409, &json!({ "failed": failed })),
        }
    }

    fn get(&mut self, key: &str) -> Response {
        self.reads += 1;
        match self.rows.get(key) {
            Some(row) => Response::ok(&row),
            None => Response::error(404, "not_found"),
        }
    }

    fn scan(&mut self, call: &Call) -> Response {
        self.reads += 1;
        let text = |name| call.query.get(name).map_or("", String::as_str);
        let limit = call
            .number("limit")
            .and_then(|it| usize::try_from(it).ok())
            .unwrap_or(DEFAULT_SCAN_LIMIT);
        let (rows, more) = self.rows.scan(text("prefix"), text("after"), limit);
        Response::ok(&json!({ "rows": rows, "more": more }))
    }

    fn records(&self) -> Response {
        let (rows, _) = self.rows.scan("", "", usize::MAX);
        Response::ok(&json!({
            "reads": self.reads,
            "writes": self.writes,
            "refused": self.refused,
            "rows": rows,
        }))
    }
}
