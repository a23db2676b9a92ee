//! A stand-in of the rating service, whose ratings can be delayed, wrong or missing.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use http_types::Method;
use kernel::Clock;
use rand::RngExt;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::answer::Answer;
use crate::call::Call;
use crate::control;
use crate::mark::Mark;
use crate::rng;
use crate::settings::RatingSettings;

const PAGE: usize = 500;

/// Rates responses by the mark that the engine stand-ins write into them.
pub struct Rating {
    clock: Arc<dyn Clock>,
    seed: u64,
    inner: Mutex<Inner>,
}

struct Inner {
    faults: Faults,
    asked: u64,
    unmarked: u64,
    pending: Vec<Pending>,
    ready: BTreeMap<String, Vec<Rated>>,
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
struct Ask {
    request: String,
    version: String,
    class: String,
    reply_to: String,
    answer: String,
}

struct Pending {
    due: Duration,
    ask: Ask,
    good: bool,
}

#[derive(Debug, Serialize)]
struct Rated {
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
            asked: 0,
            unmarked: 0,
            pending: Vec::new(),
            ready: BTreeMap::new(),
        };
        Self {
            clock,
            seed,
            inner: Mutex::new(inner),
        }
    }

    /// Handles one call.
    pub fn answer(&self, call: &Call) -> Answer {
        let now = self.clock.now();
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        match (call.method, call.segments().as_slice()) {
            (Method::Post, ["control", "faults"]) => control::switch(&mut inner.faults, call),
            (Method::Get, ["control", "records"]) => inner.records(),
            (_, ["v1", ..]) if inner.faults.outage => Answer::error(503, "outage"),
            (Method::Post, ["v1", "ratings"]) => inner.ask(self.seed, now, call),
            (Method::Get, ["v1", "ratings"]) => inner.give(now, call),
            _ => Answer::error(404, "not_found"),
        }
    }
}

impl Inner {
    fn ask(&mut self, seed: u64, now: Duration, call: &Call) -> Answer {
        let ask: Ask = match call.json() {
            Ok(it) => it,
            Err(answer) => return answer,
        };
        self.asked += 1;
        let Some(mark) = Mark::parse(&ask.answer) else {
            self.unmarked += 1;
            return Answer::json(202, &json!({}));
        };
        let mut rng = rng::drawn_for(seed, &(&ask.request, &ask.version));
        let comes = rng.random::<f64>() >= self.faults.never;
        let flipped = rng.random::<f64>() < self.faults.noise;
        if comes {
            self.pending.push(Pending {
                due: now + Duration::from_millis(self.faults.late_ms),
                good: mark.good != flipped,
                ask,
            });
        }
        Answer::json(202, &json!({}))
    }

    fn give(&mut self, now: Duration, call: &Call) -> Answer {
        self.ripen(now);
        let host = call.query.get("for").map_or("", String::as_str);
        let after = call.number("after").unwrap_or(0);
        let limit = call
            .number("limit")
            .and_then(|it| usize::try_from(it).ok())
            .unwrap_or(PAGE);
        let ratings: Vec<_> = self
            .ready
            .get(host)
            .into_iter()
            .flatten()
            .filter(|it| it.seq > after)
            .take(limit)
            .collect();
        Answer::ok(&json!({ "ratings": ratings }))
    }

    /// Publishes the ratings that are due. Sequence numbers are assigned here and not on request:
    /// otherwise a rating that becomes due late could get a number below a reader's cursor and
    /// would never be read.
    fn ripen(&mut self, now: Duration) {
        for Pending { ask, good, .. } in self.pending.extract_if(.., |it| it.due <= now) {
            let ready = self.ready.entry(ask.reply_to).or_default();
            ready.push(Rated {
                seq: ready.len() as u64 + 1,
                request: ask.request,
                version: ask.version,
                class: ask.class,
                good,
            });
        }
    }

    fn records(&self) -> Answer {
        Answer::ok(&json!({
            "asked": self.asked,
            "unmarked": self.unmarked,
            "pending": self.pending.len(),
            "ready": self.ready,
        }))
    }
}
