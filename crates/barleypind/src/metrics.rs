//! What the daemon counts and measures, in Prometheus' text at `/metrics`.

use std::time::Duration;

use derive_more::Display;
use gate::problem::Reason;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, TextEncoder};

/// Seconds. The lowest ones show what the host itself adds to a call.
const BOUNDS: [f64; 16] = [
    0.0001, 0.00025, 0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5,
    10.0, 60.0,
];

/// Every metric: its name at `/metrics` and what it tells. The catalogue is
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

/// What kind of call is counted.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Kind {
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

/// Why a further attempt was made.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Retry {
    /// The answer of a cheaper version was not good enough.
    #[display("escalated")]
    Escalated,
    /// The endpoint could not be reached.
    #[display("not_sent")]
    NotSent,
    /// The endpoint didn't have the version.
    #[display("not_loaded")]
    NotLoaded,
    /// The endpoint was full.
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
    /// The attempt took too long.
    #[display("timeout")]
    Timeout,
    /// The attempt's answer broke off before anything reached the caller.
    #[display("cut")]
    Cut,
    /// A second attempt beside a slow first one.
    #[display("hedged")]
    Hedged,
}

impl Retry {
    /// Every reason.
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

/// The gauges, as a ticker reads them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Level {
    /// The revision in force.
    pub revision: u64,
    /// Time since the last proof that it is the newest.
    pub proof_age: Duration,
    /// Billing records that the table doesn't have.
    pub unwritten: u64,
    /// Billing records held for other hosts.
    pub held: u64,
    /// Live entry hosts.
    pub live: u64,
    /// Leaving entry hosts.
    pub leaving: u64,
    /// Suspected entry hosts.
    pub suspect: u64,
    /// Endpoints that take work.
    pub endpoints: u64,
    /// Calls being worked on.
    pub open: u64,
}

/// The instruments.
pub struct Metrics {
    registry: prometheus::Registry,
    _provider: SdkMeterProvider,
    calls: Counter<u64>,
    refusals: Counter<u64>,
    retries: Counter<u64>,
    attempts: Counter<u64>,
    tokens: Counter<u64>,
    billed: Counter<u64>,
    platform_errors: Counter<u64>,
    strangers: Counter<u64>,
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
    /// Makes the instruments; every reason shows as zero from the start, so
    /// that an alert on its rate works before the first refusal.
    #[must_use]
    pub fn new() -> Self {
        let registry = prometheus::Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .scope_info_enabled(false)
            .with_namespace("barleypin")
            .build()
            .expect("a new registry holds no metric of the same name");
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("barleypind");
        let metrics = Self {
            calls: counter(&meter, "calls"),
            refusals: counter(&meter, "refusals"),
            retries: counter(&meter, "retries"),
            attempts: counter(&meter, "attempts"),
            tokens: counter(&meter, "tokens"),
            billed: counter(&meter, "billed_microcents"),
            platform_errors: counter(&meter, "platform_errors"),
            strangers: counter(&meter, "strangers"),
            call_seconds: histogram(&meter, "call_seconds"),
            first_token_seconds: histogram(&meter, "first_token_seconds"),
            decide_seconds: histogram(&meter, "decide_seconds"),
            open_calls: gauge(&meter, "open_calls"),
            revision: gauge(&meter, "revision"),
            proof_age: meter
                .f64_gauge("proof_age_seconds")
                .with_description(help("proof_age_seconds"))
                .build(),
            unwritten: gauge(&meter, "ledger_unwritten"),
            held: gauge(&meter, "ledger_held"),
            members: gauge(&meter, "members"),
            endpoints: gauge(&meter, "endpoints"),
            registry,
            _provider: provider,
        };
        metrics.start_at_zero();
        metrics
    }

    /// The text for `/metrics`.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = Vec::new();
        // The text is built in memory; a family that can't be written is left out.
        drop(TextEncoder::new().encode(&self.registry.gather(), &mut text));
        String::from_utf8(text).unwrap_or_default()
    }

    /// Counts a call taken.
    pub fn call(&self, kind: Kind) {
        self.calls.add(1, &[label("kind", &kind)]);
    }

    /// Records how long a call took.
    pub fn call_ended(&self, kind: Kind, took: Duration) {
        self.call_seconds
            .record(took.as_secs_f64(), &[label("kind", &kind)]);
    }

    /// Counts a refusal.
    pub fn refused(&self, reason: Reason) {
        self.refusals.add(1, &[label("reason", &reason)]);
    }

    /// Counts an attempt after the first one.
    pub fn retried(&self, reason: Retry) {
        self.retries.add(1, &[label("reason", &reason)]);
    }

    /// Counts the end of an attempt.
    pub fn attempt_ended(&self, outcome: &'static str) {
        self.attempts.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Records when the first piece of an answer came.
    pub fn first_token(&self, after: Duration) {
        self.first_token_seconds.record(after.as_secs_f64(), &[]);
    }

    /// Records how long a decision held its lock.
    pub fn decided(&self, took: Duration) {
        self.decide_seconds.record(took.as_secs_f64(), &[]);
    }

    /// Counts what an answer used and cost (in microcents).
    pub fn answered(&self, prompt: u64, completion: u64, cost: u64) {
        self.tokens
            .add(prompt, &[KeyValue::new("direction", "prompt")]);
        self.tokens
            .add(completion, &[KeyValue::new("direction", "completion")]);
        self.billed.add(cost, &[]);
    }

    /// Counts a failed call to a service of the platform.
    pub fn platform_failed(&self, service: &'static str) {
        self.platform_errors
            .add(1, &[KeyValue::new("service", service)]);
    }

    /// Counts frames and connections without the key.
    pub fn strangers(&self, count: u64) {
        self.strangers.add(count, &[]);
    }

    /// Sets the gauges.
    pub fn level(&self, level: &Level) {
        self.open_calls.record(level.open, &[]);
        self.revision.record(level.revision, &[]);
        self.proof_age.record(level.proof_age.as_secs_f64(), &[]);
        self.unwritten.record(level.unwritten, &[]);
        self.held.record(level.held, &[]);
        self.endpoints.record(level.endpoints, &[]);
        for (state, count) in [
            ("live", level.live),
            ("leaving", level.leaving),
            ("suspect", level.suspect),
        ] {
            self.members.record(count, &[KeyValue::new("state", state)]);
        }
    }

    fn start_at_zero(&self) {
        for kind in [Kind::Chat, Kind::Service, Kind::Hosts, Kind::Operator] {
            self.calls.add(0, &[label("kind", &kind)]);
        }
        for reason in Reason::ALL {
            self.refusals.add(0, &[label("reason", &reason)]);
        }
        for reason in Retry::ALL {
            self.retries.add(0, &[label("reason", &reason)]);
        }
        for service in ["table", "host_list", "ratings"] {
            self.platform_errors
                .add(0, &[KeyValue::new("service", service)]);
        }
        self.attempts
            .add(0, &[KeyValue::new("outcome", "answered")]);
        self.strangers.add(0, &[]);
        self.answered(0, 0, 0);
        self.level(&Level::default());
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

fn counter(meter: &Meter, name: &'static str) -> Counter<u64> {
    meter.u64_counter(name).with_description(help(name)).build()
}

fn gauge(meter: &Meter, name: &'static str) -> Gauge<u64> {
    meter.u64_gauge(name).with_description(help(name)).build()
}

fn histogram(meter: &Meter, name: &'static str) -> Histogram<f64> {
    meter
        .f64_histogram(name)
        .with_boundaries(BOUNDS.to_vec())
        .with_description(help(name))
        .build()
}

fn help(name: &str) -> &'static str {
    CATALOGUE
        .iter()
        .find(|(full, _)| {
            let full = full.strip_prefix("barleypin_").unwrap_or(full);
            full.strip_suffix("_total").unwrap_or(full) == name
        })
        .map_or("", |(_, help)| help)
}
