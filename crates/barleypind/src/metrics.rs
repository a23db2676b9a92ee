//! The daemon's metrics, exported at `/metrics` in Prometheus' text format.

use std::time::Duration;

use derive_more::Display;
use gate::problem::Reason;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram};
use telemetry::Instruments;

/// Upper bounds of the histogram buckets in seconds.
const BUCKET_BOUNDS: [f64; 16] = [
    0.0001, 0.00025, 0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5,
    10.0, 60.0,
];

/// The name and help text of every metric at `/metrics`. The catalogue is
/// `docs/reference/metrics.md`.
pub const CATALOGUE: &[(&str, &str)] = &[
    ("barleypin_calls_total", "Calls taken, by kind."),
    ("barleypin_refusals_total", "Refusals, by reason."),
    (
        "barleypin_retries_total",
        "Attempts after the first one, by the reason for them.",
    ),
    ("barleypin_attempts_total", "Attempts ended, by outcome."),
    (
        "barleypin_tokens_total",
        "Tokens of answered requests, by direction.",
    ),
    (
        "barleypin_billed_microcents_total",
        "Money billed to customers.",
    ),
    (
        "barleypin_platform_errors_total",
        "Failed calls to the platform, by service.",
    ),
    (
        "barleypin_strangers_total",
        "Frames and connections dropped for want of the key.",
    ),
    (
        "barleypin_call_seconds",
        "Time from a call's arrival to the end of its answer, by kind.",
    ),
    (
        "barleypin_first_token_seconds",
        "Time from a chat's arrival to the first piece of its answer.",
    ),
    ("barleypin_decide_seconds", "Time a decision held its lock."),
    ("barleypin_open_calls", "Calls being worked on."),
    ("barleypin_revision", "The revision in force."),
    (
        "barleypin_proof_age_seconds",
        "Time since the last proof that the revision is the newest.",
    ),
    (
        "barleypin_ledger_unwritten",
        "Billing records of this host that the table doesn't have.",
    ),
    (
        "barleypin_ledger_held",
        "Billing records held for other hosts.",
    ),
    ("barleypin_members", "Entry hosts known, by state."),
    ("barleypin_endpoints", "Endpoints that take work."),
];

/// The kind of a call.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum CallKind {
    /// A chat completion.
    #[display("chat")]
    Chat,
    /// A call to a plain service.
    #[display("service")]
    Service,
    /// `GET /v1/hosts`.
    #[display("hosts")]
    Hosts,
    /// An operator's call.
    #[display("operator")]
    Operator,
}

/// The reason for a further attempt.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum RetryReason {
    /// The response of a cheaper version wasn't good enough.
    #[display("escalated")]
    Escalated,
    /// The endpoint couldn't be reached.
    #[display("not_sent")]
    NotSent,
    /// The endpoint didn't have the version loaded.
    #[display("not_loaded")]
    NotLoaded,
    /// The endpoint was overloaded.
    #[display("overloaded")]
    Overloaded,
    /// The endpoint was leaving.
    #[display("leaving")]
    Leaving,
    /// The address belongs to another incarnation by now.
    #[display("wrong_incarnation")]
    WrongIncarnation,
    /// The endpoint failed and may have run the attempt.
    #[display("failed")]
    Failed,
    /// The attempt timed out.
    #[display("timeout")]
    Timeout,
    /// The attempt's response was cut off before any of it reached the caller.
    #[display("cut")]
    Cut,
    /// A second attempt was sent in parallel with a slow one.
    #[display("hedged")]
    Hedged,
}

impl RetryReason {
    /// All reasons.
    pub const ALL: [Self; 10] = [
        Self::Escalated,
        Self::NotSent,
        Self::NotLoaded,
        Self::Overloaded,
        Self::Leaving,
        Self::WrongIncarnation,
        Self::Failed,
        Self::Timeout,
        Self::Cut,
        Self::Hedged,
    ];
}

/// The values of all gauges.
#[derive(Clone, Copy, Debug, Default)]
pub struct GaugeValues {
    /// The revision in force.
    pub revision: u64,
    /// Time since the last proof that the revision is the newest, or since the start of the clock
    /// without one.
    pub proof_age: Duration,
    /// Billing records of this host that aren't in the table.
    pub unwritten: u64,
    /// Billing records held for other hosts.
    pub held: u64,
    /// Live entry hosts.
    pub live: u64,
    /// Leaving entry hosts.
    pub leaving: u64,
    /// Suspected and unreachable entry hosts.
    pub suspect: u64,
    /// Live endpoints.
    pub endpoints: u64,
    /// Open calls.
    pub open: u64,
}

/// The instruments of all metrics.
pub struct Metrics {
    instruments: Instruments,
    calls: Counter<u64>,
    refusals: Counter<u64>,
    retries: Counter<u64>,
    attempts: Counter<u64>,
    tokens: Counter<u64>,
    billed: Counter<u64>,
    platform_errors: Counter<u64>,
    link_rejections: Counter<u64>,
    call_seconds: Histogram<f64>,
    first_token_seconds: Histogram<f64>,
    decide_seconds: Histogram<f64>,
    open_calls: Gauge<u64>,
    revision: Gauge<u64>,
    proof_age: Gauge<f64>,
    unwritten: Gauge<u64>,
    held: Gauge<u64>,
    members: Gauge<u64>,
    endpoints: Gauge<u64>,
}

impl Metrics {
    /// Creates the instruments. All counters are exported as zero from the start, so that an alert
    /// on a counter's rate works for its first increment, except those of attempts with another
    /// outcome than `answered`.
    #[must_use]
    pub fn new() -> Self {
        let instruments = Instruments::new("barleypind", CATALOGUE, &BUCKET_BOUNDS);
        let it = &instruments;
        let metrics = Self {
            calls: it.counter("calls"),
            refusals: it.counter("refusals"),
            retries: it.counter("retries"),
            attempts: it.counter("attempts"),
            tokens: it.counter("tokens"),
            billed: it.counter("billed_microcents"),
            platform_errors: it.counter("platform_errors"),
            link_rejections: it.counter("strangers"),
            call_seconds: it.histogram("call_seconds"),
            first_token_seconds: it.histogram("first_token_seconds"),
            decide_seconds: it.histogram("decide_seconds"),
            open_calls: it.int_gauge("open_calls"),
            revision: it.int_gauge("revision"),
            proof_age: it.float_gauge("proof_age_seconds"),
            unwritten: it.int_gauge("ledger_unwritten"),
            held: it.int_gauge("ledger_held"),
            members: it.int_gauge("members"),
            endpoints: it.int_gauge("endpoints"),
            instruments,
        };
        metrics.start_at_zero();
        metrics
    }

    /// Returns the text for `/metrics`.
    #[must_use]
    pub fn text(&self) -> String {
        self.instruments.text()
    }

    /// Counts a call that arrived.
    pub fn call(&self, kind: CallKind) {
        self.calls.add(1, &[label("kind", &kind)]);
    }

    /// Records the time from a call's arrival to its outcome, before it is billed and the end of
    /// the response is sent.
    pub fn call_ended(&self, kind: CallKind, took: Duration) {
        self.call_seconds
            .record(took.as_secs_f64(), &[label("kind", &kind)]);
    }

    /// Counts a refusal.
    pub fn refused(&self, reason: Reason) {
        self.refusals.add(1, &[label("reason", &reason)]);
    }

    /// Counts a dispatch after a call's first one.
    pub fn retried(&self, reason: RetryReason) {
        self.retries.add(1, &[label("reason", &reason)]);
    }

    /// Counts the end of an attempt.
    pub fn attempt_ended(&self, outcome: &'static str) {
        self.attempts.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Records the time from a streamed call's arrival to the first text of an attempt.
    pub fn first_token(&self, after: Duration) {
        self.first_token_seconds.record(after.as_secs_f64(), &[]);
    }

    /// Records the time for which a decision held its lock.
    pub fn decided(&self, took: Duration) {
        self.decide_seconds.record(took.as_secs_f64(), &[]);
    }

    /// Counts the tokens of a response and its cost in microcents.
    pub fn answered(&self, prompt: u64, completion: u64, cost: u64) {
        self.tokens
            .add(prompt, &[KeyValue::new("direction", "prompt")]);
        self.tokens
            .add(completion, &[KeyValue::new("direction", "completion")]);
        self.billed.add(cost, &[]);
    }

    /// Counts a failed request to a platform service.
    pub fn platform_failed(&self, service: &'static str) {
        self.platform_errors
            .add(1, &[KeyValue::new("service", service)]);
    }

    /// Counts frames and connections that the link rejected.
    pub fn link_rejections(&self, count: u64) {
        self.link_rejections.add(count, &[]);
    }

    /// Sets the gauges.
    pub fn set_gauges(&self, values: &GaugeValues) {
        self.open_calls.record(values.open, &[]);
        self.revision.record(values.revision, &[]);
        self.proof_age.record(values.proof_age.as_secs_f64(), &[]);
        self.unwritten.record(values.unwritten, &[]);
        self.held.record(values.held, &[]);
        self.endpoints.record(values.endpoints, &[]);
        for (state, count) in [
            ("live", values.live),
            ("leaving", values.leaving),
            ("suspect", values.suspect),
        ] {
            self.members.record(count, &[KeyValue::new("state", state)]);
        }
    }

    fn start_at_zero(&self) {
        for kind in [
            CallKind::Chat,
            CallKind::Service,
            CallKind::Hosts,
            CallKind::Operator,
        ] {
            self.calls.add(0, &[label("kind", &kind)]);
        }
        for reason in Reason::ALL {
            self.refusals.add(0, &[label("reason", &reason)]);
        }
        for reason in RetryReason::ALL {
            self.retries.add(0, &[label("reason", &reason)]);
        }
        for service in ["table", "host_list", "ratings"] {
            self.platform_errors
                .add(0, &[KeyValue::new("service", service)]);
        }
        self.attempts
            .add(0, &[KeyValue::new("outcome", "answered")]);
        self.link_rejections.add(0, &[]);
        self.answered(0, 0, 0);
        self.set_gauges(&GaugeValues::default());
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

fn label(key: &'static str, value: &impl ToString) -> KeyValue {
    KeyValue::new(key, value.to_string())
}
