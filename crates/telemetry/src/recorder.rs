//! Records requests, attempts and events in the log and the metrics.

use std::cell::RefCell;
use std::fmt;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io;
use std::sync::Arc;
use std::time::Duration;

use kernel::{Clock, EndpointId, RequestId};
use route::rate_limit::Change;
use route::{Denial, Failure, PartId, Shortage};

use crate::line_limiter::{LineLimiter, LinePriority};
use crate::{
    AttemptReport, AttemptSummary, Event, Field, Log, Metrics, Outcome, RequestReport, Value,
};

/// Records requests, attempts and events in the log and the metrics, without blocking.
pub struct Recorder {
    log: Log,
    metrics: Arc<Metrics>,
    clock: Arc<dyn Clock>,
    line_limiter: RefCell<LineLimiter>,
}

impl Recorder {
    /// Creates a recorder that writes to `log` and `metrics`.
    #[must_use]
    pub fn new(log: Log, metrics: Arc<Metrics>, clock: Arc<dyn Clock>) -> Self {
        Self {
            log,
            metrics,
            clock,
            line_limiter: RefCell::default(),
        }
    }

    /// Returns the metrics.
    #[must_use]
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Logs an event, unless the rate limit is reached.
    pub fn log_event(&self, event: Event, fields: &[Field<'_>]) {
        if self.may_write(LinePriority::Notable) {
            self.log.write(event, fields);
        }
    }

    /// Logs that the rate that an endpoint states has changed.
    pub fn log_rate_limit(&self, endpoint: &EndpointId, change: Change, told_by: &'static str) {
        let endpoint = ("endpoint", Value::Text(endpoint));
        let told_by = ("told_by", Value::Text(&told_by));
        match change {
            Change::Stated(rate) => {
                let per_second = ("per_second", Value::Text(&rate));
                self.log_event(Event::EndpointLimited, &[endpoint, per_second, told_by]);
            }
            Change::Lifted => self.log_event(Event::EndpointUnlimited, &[endpoint, told_by]),
        }
    }

    /// Logs and counts the lines that the rate limit has dropped since the last call, if any.
    /// Call it at regular intervals.
    pub fn log_dropped_lines(&self) {
        let dropped = self.line_limiter.borrow_mut().take_dropped();
        if dropped > 0 {
            self.metrics.lines_dropped(dropped);
            self.log
                .write(Event::LinesDropped, &[("lines", Value::Count(dropped))]);
        }
    }

    /// Records the end of a request.
    pub fn record_request(&self, report: &RequestReport<'_>) {
        self.metrics.request(report);
        let (event, reason) = match report.outcome {
            Outcome::Answered => (Event::Answered, None),
            Outcome::Denied(it) => (Event::Denied, Some(it.to_string())),
            Outcome::Rejected => (Event::Rejected, None),
            Outcome::Failed(Failure::NotRun { .. }) => (Event::Refused, None),
            Outcome::Failed(Failure::Overloaded { shortage, .. }) => {
                (Event::Refused, Some(shortage.to_string()))
            }
            Outcome::Failed(Failure::Passed) => (Event::Passed, None),
            Outcome::Failed(_) => (Event::Failed, Some(report.outcome.name().to_owned())),
            Outcome::CallerGone => (Event::CallerGone, None),
        };
        let is_routine = report.outcome == Outcome::Answered
            && report.attempt_summary == AttemptSummary::NoneFailed;
        if !self.may_write(priority(is_routine, report.id)) {
            return;
        }
        let retry_after = match report.outcome {
            Outcome::Failed(
                Failure::NotRun { retry_after } | Failure::Overloaded { retry_after, .. },
            )
            | Outcome::Denied(Denial::Quarantined { retry_after, .. }) => Some(retry_after),
            _ => None,
        };
        let (wait, admitted, allowed) = match report.outcome {
            Outcome::Failed(Failure::Overloaded { shortage, .. }) => shortage_fields(shortage),
            _ => (None, None, None),
        };
        self.log.write(
            event,
            &[
                ("request", Value::Text(report.id)),
                ("print", optional_text(report.fingerprint.as_ref())),
                ("route", optional_text(report.route.as_ref())),
                ("customer", optional_text(report.customer.as_ref())),
                ("reason", optional_text(reason.as_ref())),
                ("status", Value::Count(report.status.into())),
                ("attempts", Value::Count(report.attempts.into())),
                ("events", Value::Count(report.events)),
                ("trail", Value::Text(&report.trail)),
                ("config", Value::count(report.config_version)),
                ("first_ms", Value::time(report.time_to_first_byte)),
                ("pause_ms", Value::time(report.max_pause)),
                ("retry_after_ms", Value::time(retry_after)),
                ("wait_ms", Value::time(wait)),
                ("admitted", Value::count(admitted)),
                ("allowed", Value::count(allowed)),
                ("ms", Value::Time(report.total)),
            ],
        );
    }

    /// Records the end of an attempt.
    pub fn record_attempt(&self, attempt: &AttemptReport<'_>) {
        self.metrics.attempt(attempt.ending);
        if attempt.rate_limit.is_some() {
            self.metrics.limited_attempt();
        }
        if let Some(reason) = attempt.no_connection {
            self.metrics.no_connection(reason);
        }
        if attempt.connection_wait.is_some() {
            self.metrics.connection_wait();
        }
        self.metrics.strays(attempt.strays);
        let is_routine = AttemptSummary::from(attempt.ending) == AttemptSummary::NoneFailed;
        if !self.may_write(priority(is_routine, attempt.id)) {
            return;
        }
        let placement = attempt.placement;
        let parts = (!attempt.parts.is_empty()).then_some(Parts(attempt.parts));
        self.log.write(
            Event::Attempt,
            &[
                ("request", Value::Text(attempt.id)),
                ("print", Value::Text(&attempt.fingerprint)),
                ("parts", optional_text(parts.as_ref())),
                ("attempt", Value::Count(attempt.number.into())),
                ("endpoint", Value::Text(&placement.id)),
                ("address", Value::Text(&placement.address)),
                ("model", optional_text(placement.model.as_ref())),
                ("release", optional_text(placement.side.as_ref())),
                ("ending", Value::Text(&attempt.ending)),
                ("status", Value::count(attempt.status.map(u64::from))),
                (
                    "confidence",
                    Value::count(attempt.confidence.map(u64::from)),
                ),
                ("withheld", optional_text(attempt.withheld.as_ref())),
                ("leaving", Value::flag(attempt.is_leaving)),
                ("per_second", optional_text(attempt.rate_limit.as_ref())),
                (
                    "pace",
                    Value::count(attempt.pace.map(|it| it.percent().into())),
                ),
                ("slowness", Value::ratio(attempt.slowness)),
                ("last_event", Value::count(attempt.last_event)),
                ("connection", optional_text(attempt.connection.as_ref())),
                (
                    "no_connection",
                    optional_text(attempt.no_connection.as_ref()),
                ),
                ("connection_wait_ms", Value::time(attempt.connection_wait)),
                ("strays", Value::Count(attempt.strays.into())),
                ("candidates", Value::Count(placement.candidates as u64)),
                ("used", Value::Ratio(placement.utilization)),
                ("load_age_ms", Value::time(placement.load_age)),
                ("listing_age_ms", Value::time(placement.listing_age)),
                ("config", Value::count(attempt.config_version)),
                ("left_ms", Value::Time(attempt.time_left)),
                ("ms", Value::Time(attempt.took)),
            ],
        );
    }

    /// Records whether a connection to an endpoint could be opened.
    /// `error` is the reason if it couldn't.
    pub fn record_connect(&self, endpoint: &EndpointId, took: Duration, error: Option<&io::Error>) {
        self.metrics.connect(error.is_none());
        if let Some(err) = error {
            self.log_event(
                Event::Connect,
                &[
                    ("endpoint", Value::Text(endpoint)),
                    ("error", Value::Text(err)),
                    ("ms", Value::Time(took)),
                ],
            );
        }
    }

    fn may_write(&self, priority: LinePriority) -> bool {
        let now = self.clock.now();
        self.line_limiter.borrow_mut().take(now, priority)
    }
}

/// Displays the parts of a prompt, separated by spaces.
struct Parts<'a>(&'a [PartId]);

impl fmt::Display for Parts<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (nr, part) in self.0.iter().enumerate() {
            let separator = if nr == 0 { "" } else { " " };
            write!(f, "{separator}{part}")?;
        }
        Ok(())
    }
}

/// One in `SAMPLE_INTERVAL` requests without failures is selected for the log, with all its
/// attempts. The rate limit may drop some of their lines.
const SAMPLE_INTERVAL: u64 = 50;

fn priority(is_routine: bool, id: &RequestId) -> LinePriority {
    match (is_routine, is_sampled(id)) {
        (false, _) => LinePriority::Notable,
        (true, true) => LinePriority::Sampled,
        (true, false) => LinePriority::Routine,
    }
}

/// Returns whether a request is sampled. The result depends only on the request id, so that all
/// hosts select the same requests.
fn is_sampled(id: &RequestId) -> bool {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish().is_multiple_of(SAMPLE_INTERVAL)
}

/// Returns the expected wait, the customer's admitted requests and how many were allowed, as far as
/// they were the reason of a refusal.
fn shortage_fields(shortage: Shortage) -> (Option<Duration>, Option<u64>, Option<u64>) {
    match shortage {
        Shortage::NoCapacity { wait } => (Some(wait), None, None),
        Shortage::OverShare { admitted, allowed } => {
            (None, Some(admitted.into()), Some(allowed.into()))
        }
        Shortage::EarlyRetry => (None, None, None),
    }
}

fn optional_text<T: std::fmt::Display>(value: Option<&T>) -> Value<'_> {
    value.map_or(Value::Unknown, |it| Value::Text(it))
}
