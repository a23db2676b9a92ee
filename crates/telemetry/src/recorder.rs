//! Records requests, attempts and events in the log and the metrics.

use std::cell::RefCell;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io;
use std::sync::Arc;
use std::time::Duration;

use kernel::{Clock, EndpointId, RequestId};
use route::{Denial, Failure};

use crate::allowance::{Allowance, Weight};
use crate::{Attempt, Event, Field, Log, Metrics, Outcome, Report, Smooth, Value};

/// Records requests, attempts and events in the log and the metrics, without blocking.
pub struct Recorder {
    log: Log,
    metrics: Arc<Metrics>,
    clock: Arc<dyn Clock>,
    allowance: RefCell<Allowance>,
}

impl Recorder {
    /// Creates a recorder that writes to `log` and `metrics`.
    #[must_use]
    pub fn new(log: Log, metrics: Arc<Metrics>, clock: Arc<dyn Clock>) -> Self {
        Self {
            log,
            metrics,
            clock,
            allowance: RefCell::default(),
        }
    }

    /// Returns the metrics.
    #[must_use]
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Logs an event, unless the rate limit is reached.
    pub fn say(&self, event: Event, fields: &[Field<'_>]) {
        if self.may_write(Weight::Notable) {
            self.log.write(event, fields);
        }
    }

    /// Logs how many lines were dropped, if any. It must be called every second.
    pub fn say_dropped(&self) {
        let dropped = self.allowance.borrow_mut().take_dropped();
        if dropped > 0 {
            self.metrics.lines_dropped(dropped);
            self.log
                .write(Event::LinesDropped, &[("lines", Value::Count(dropped))]);
        }
    }

    /// Records the end of a request.
    pub fn request(&self, report: &Report<'_>) {
        self.metrics.request(report);
        let (event, reason) = match report.outcome {
            Outcome::Answered => (Event::Answered, None),
            Outcome::Denied(it) => (Event::Denied, Some(it.to_string())),
            Outcome::Rejected => (Event::Rejected, None),
            Outcome::Failed(Failure::NotRun { .. }) => (Event::Refused, None),
            Outcome::Failed(Failure::Passed) => (Event::Passed, None),
            Outcome::Failed(_) => (Event::Failed, Some(report.outcome.name().to_owned())),
            Outcome::Gone => (Event::CallerGone, None),
        };
        let is_ordinary = report.outcome == Outcome::Answered && report.smooth == Smooth::Yes;
        if !self.may_write(weight(is_ordinary, report.id)) {
            return;
        }
        let retry_after = match report.outcome {
            Outcome::Failed(Failure::NotRun { retry_after })
            | Outcome::Denied(Denial::Quarantined { retry_after, .. }) => Some(retry_after),
            _ => None,
        };
        self.log.write(
            event,
            &[
                ("request", Value::Text(report.id)),
                ("print", words(report.print.as_ref())),
                ("route", words(report.route.as_ref())),
                ("customer", words(report.customer.as_ref())),
                ("reason", words(reason.as_ref())),
                ("status", Value::Count(report.status.into())),
                ("attempts", Value::Count(report.attempts.into())),
                ("events", Value::Count(report.events)),
                ("trail", Value::Text(&report.trail)),
                ("config", Value::count(report.config)),
                ("first_ms", Value::time(report.first)),
                ("pause_ms", Value::time(report.pause)),
                ("retry_after_ms", Value::time(retry_after)),
                ("ms", Value::Time(report.total)),
            ],
        );
    }

    /// Records the end of an attempt.
    pub fn attempt(&self, attempt: &Attempt<'_>) {
        self.metrics.attempt(attempt.ending);
        self.metrics.strays(attempt.strays);
        let is_ordinary = Smooth::from(attempt.ending) == Smooth::Yes;
        if !self.may_write(weight(is_ordinary, attempt.id)) {
            return;
        }
        let placement = attempt.placement;
        self.log.write(
            Event::Attempt,
            &[
                ("request", Value::Text(attempt.id)),
                ("print", Value::Text(&attempt.print)),
                ("attempt", Value::Count(attempt.number.into())),
                ("endpoint", Value::Text(&placement.id)),
                ("address", Value::Text(&placement.address)),
                ("model", words(placement.model.as_ref())),
                ("release", words(placement.side.as_ref())),
                ("ending", Value::Text(&attempt.ending)),
                ("status", Value::count(attempt.status.map(u64::from))),
                (
                    "confidence",
                    Value::count(attempt.confidence.map(u64::from)),
                ),
                ("withheld", words(attempt.withheld.as_ref())),
                ("leaving", Value::flag(attempt.is_leaving)),
                ("last_event", Value::count(attempt.last_event)),
                ("connection", words(attempt.connection.as_ref())),
                ("strays", Value::Count(attempt.strays.into())),
                ("candidates", Value::Count(placement.candidates as u64)),
                ("used", Value::Share(placement.used)),
                ("load_age_ms", Value::time(placement.load_age)),
                ("listing_age_ms", Value::time(placement.listing_age)),
                ("config", Value::count(attempt.config)),
                ("left_ms", Value::Time(attempt.left)),
                ("ms", Value::Time(attempt.took)),
            ],
        );
    }

    /// Records whether a connection to an endpoint could be opened.
    pub fn connect(&self, endpoint: &EndpointId, took: Duration, result: &io::Result<()>) {
        self.metrics.connect(result.is_ok());
        if let Err(err) = result {
            self.say(
                Event::Connect,
                &[
                    ("endpoint", Value::Text(endpoint)),
                    ("error", Value::Text(err)),
                    ("ms", Value::Time(took)),
                ],
            );
        }
    }

    fn may_write(&self, weight: Weight) -> bool {
        let now = self.clock.now();
        self.allowance.borrow_mut().take(now, weight)
    }
}

/// One in `SAMPLE` requests without failures is logged, with all its attempts.
const SAMPLE: u64 = 50;

fn weight(is_ordinary: bool, id: &RequestId) -> Weight {
    match (is_ordinary, is_sampled(id)) {
        (false, _) => Weight::Notable,
        (true, true) => Weight::Sample,
        (true, false) => Weight::Ordinary,
    }
}

/// Returns whether a request is sampled: the same for all its lines, on every host.
fn is_sampled(id: &RequestId) -> bool {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish().is_multiple_of(SAMPLE)
}

fn words<T: std::fmt::Display>(value: Option<&T>) -> Value<'_> {
    value.map_or(Value::Unknown, |it| Value::Text(it))
}
