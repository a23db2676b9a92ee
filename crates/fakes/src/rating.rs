//! A stand-in of the rating service, whose ratings can be delayed, wrong or missing.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use http_types::Method;
use kernel::Clock;
use rand::RngExt;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::call::Call;
use crate::control;
use crate::mark::Mark;
use crate::response::Response;
use crate::rng;
use crate::settings::RatingSettings;

const DEFAULT_PAGE_SIZE: usize = 500;

/// Rates responses by the mark that the engine stand-ins write into them.
pub struct Rating {
    clock: Arc<dyn Clock>,
    seed: u64,
    inner: Mutex<Inner>,
}

struct Inner {
    faults: Faults,
    requested: u64,
    unmarked: u64,
    pending: Vec<PendingRating>,
    published: BTreeMap<String, Vec<PublishedRating>>,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Faults {
    outage: bool,
    /// The delay of each rating.
    late_ms: u64,
    /// The share of ratings that are inverted.
    noise: f64,
    /// The share of ratings that are never delivered.
    never: f64,
}

#[derive(Debug, Deserialize)]
struct RatingRequest {
    request: String,
    version: String,
    class: String,
    reply_to: String,
    answer: String,
}

struct PendingRating {
    due: Duration,
    body: RatingRequest,
    good: bool,
}

#[derive(Debug, Serialize)]
struct PublishedRating {
    seq: u64,
    request: String,
    version: String,
    class: String,
    good: bool,
}

impl Rating {
    /// Creates a service with no ratings.
    #[must_use]
    pub fn new(clock: Arc<dyn Clock>, settings: &RatingSettings, seed: u64) -> Self {
        let faults = Faults {
            outage: false,
            late_ms: settings.late_ms,
            noise: settings.noise,
            never: settings.never,
        };
        let inner = Inner {
            faults,
            requested: 0,
            unmarked: 0,
            pending: Vec::new(),
            published: BTreeMap::new(),
        };
        Self {
            clock,
            seed,
            inner: Mutex::new(inner),
        }
    }

    /// Handles one call.
    pub fn handle(&self, call: &Call) -> Response {
        let now = self.clock.now();
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        match (call.method, call.segments().as_slice()) {
            (Method::Post, ["control", "faults"]) => {
                control::update_faults(&mut inner.faults, call)
            }
            (Method::Get, ["control", "records"]) => inner.records(),
            (_, ["v1", ..]) if inner.faults.outage => Response::error(503, "outage"),
            (Method::Post, ["v1", "ratings"]) => inner.submit(self.seed, now, call),
            (Method::Get, ["v1", "ratings"]) => inner.list(now, call),
            _ => Response::error(404, "not_found"),
        }
    }
}

impl Inner {
    fn submit(&mut self, seed: u64, now: Duration, call: &Call) -> Response {
        let body: RatingRequest = match call.json() {
            Ok(it) => it,
            Err(response) => return response,
        };
        self.requested += 1;
        let Some(mark) = Mark::parse(&body.answer) else {
            self.unmarked += 1;
            return Response::json(202, &json!({}));
        };
        let mut rng = rng::keyed(seed, &(&body.request, &body.version));
        let delivered = rng.random::<f64>() >= self.faults.never;
        let inverted = rng.random::<f64>() < self.faults.noise;
        if delivered {
            self.pending.push(PendingRating {
                due: now + Duration::from_millis(self.faults.late_ms),
                good: mark.good != inverted,
                body,
            });
        }
        Response::json(202, &json!({}))
    }

    fn list(&mut self, now: Duration, call: &Call) -> Response {
        self.publish_due(now);
        let host = call.query.get("for").map_or("", String::as_str);
        let after = call.number("after").unwrap_or(0);
        let limit = call
            .number("limit")
            .and_then(|it| usize::try_from(it).ok())
            .unwrap_or(DEFAULT_PAGE_SIZE);
        let ratings: Vec<_> = self
            .published
            .get(host)
            .into_iter()
            .flatten()
            .filter(|it| it.seq > after)
            .take(limit)
            .collect();
        Response::ok(&json!({ "ratings": ratings }))
    }

    /// Publishes the ratings that are due. Sequence numbers are assigned here and not on request:
    /// otherwise a rating published later could get a number that a host's `after` has already
    /// passed, and the host would never see it.
    fn publish_due(&mut self, now: Duration) {
        for PendingRating { body, good, .. } in self.pending.extract_if(.., |it| it.due <= now) {
            let published = self.published.entry(body.reply_to).or_default();
            published.push(PublishedRating {
                seq: published.len() as u64 + 1,
                request: body.request,
                version: body.version,
                class: body.class,
                good,
            });
        }
    }

    fn records(&self) -> Response {
        Response::ok(&json!({
            "asked": self.requested,
            "unmarked": self.unmarked,
            "pending": self.pending.len(),
            "ready": self.published,
        }))
    }
}
