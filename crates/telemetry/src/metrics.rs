//! The metrics of a relaying host, in the Prometheus text format.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram};
use route::{Denial, Ending, LoadError, Shortage, Slowness, Withheld};

use crate::{CATALOGUE, Instruments, NoConnection, RefusedUpdate, RelayResult, RequestReport};

/// The bounds of all histograms in seconds.
const BUCKET_BOUNDS_SECONDS: [f64; 14] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0,
];

/// The values of the gauges, read from the host's state at intervals.
#[derive(Clone, Debug, Default)]
pub struct Gauges {
    /// The version of the configuration in force, or 0 if there is none.
    pub config_version: u64,
    /// Seconds since the configuration was last confirmed, or NaN if it never was.
    pub config_confirmed: f64,
    /// The age of the listing of endpoints in seconds, or NaN if there is none.
    pub listing_age: f64,
    /// Endpoints that accept requests, including ejected ones.
    pub endpoints: u64,
    /// The ejected ones among these endpoints.
    pub ejected: u64,
    /// Endpoints that state a limit on the rate of requests.
    pub endpoints_limited: u64,
    /// 1 if this host can't open a connection to any endpoint, else 0.
    pub endpoints_unreachable: u64,
    /// Data centres that operators have evacuated.
    pub data_centres_evacuated: u64,
    /// Hosts in the list for callers.
    pub hosts: u64,
    /// Whether this host reads the store for the other hosts, as 1 or 0.
    pub is_reader: u64,
    /// The statistics of the links to other hosts.
    pub links: Links,
    /// Callers' open connections.
    pub callers: u64,
    /// Requests in progress.
    pub requests: u64,
    /// Requests that are quarantined because endpoints exited while running them.
    pub quarantined: u64,
    /// The slowness of endpoints, by service.
    pub slowness: Vec<(String, Slowness)>,
    /// The retries that this host may still send, by service. May be negative.
    pub retry_budgets: Vec<(String, f64)>,
    /// For each roll-out: the service, the new release's share of the requests, and the
    /// evidence, pooled over the hosts. Of the evidence, only the responses and failures of
    /// both releases are exported.
    pub rollouts: Vec<(String, f64, route::rollout::Evidence)>,
}

/// The statistics of the links to other hosts.
#[derive(Clone, Copy, Debug, Default)]
pub struct Links {
    /// Open connections.
    pub connections: u64,
    /// Connections established since the start.
    pub handshakes: u64,
    /// Bytes sent since the start.
    pub sent: u64,
    /// Bytes received since the start.
    pub received: u64,
}

/// The instruments of a relaying host.
pub struct Metrics {
    instruments: Instruments,
    requests: Counter<u64>,
    refusals: Counter<u64>,
    retries: Counter<u64>,
    withheld: Counter<u64>,
    attempts: Counter<u64>,
    limited_attempts: Counter<u64>,
    refused_updates: Counter<u64>,
    relayed: Counter<u64>,
    load_errors: Counter<u64>,
    strays: Counter<u64>,
    connections: Counter<u64>,
    no_connection: Counter<u64>,
    connection_waits: Counter<u64>,
    ejections: Counter<u64>,
    request_seconds: Histogram<f64>,
    first_piece_seconds: Histogram<f64>,
    pause_seconds: Histogram<f64>,
    store_calls: Counter<u64>,
    store_call_seconds: Histogram<f64>,
    lines_dropped: Counter<u64>,
    config_version: Gauge<u64>,
    config_confirmed: Gauge<f64>,
    listing_age: Gauge<f64>,
    endpoints: Gauge<u64>,
    ejected: Gauge<u64>,
    endpoints_limited: Gauge<u64>,
    endpoints_unreachable: Gauge<u64>,
    data_centres_evacuated: Gauge<u64>,
    hosts: Gauge<u64>,
    is_reader: Gauge<u64>,
    link_connections: Gauge<u64>,
    link_handshakes: Gauge<u64>,
    link_sent: Gauge<u64>,
    link_received: Gauge<u64>,
    callers: Gauge<u64>,
    requests_open: Gauge<u64>,
    requests_held: Gauge<u64>,
    endpoint_slowness: Gauge<f64>,
    budget_left: Gauge<f64>,
    rollout_answers: Gauge<u64>,
    rollout_share: Gauge<f64>,
}

impl Metrics {
    /// Creates the instruments. Counters by outcome, ending or reason are exported as zero from
    /// the start, so that an alert on their rate sees the first case.
    #[must_use]
    pub fn new() -> Self {
        let instruments = Instruments::new("relay", CATALOGUE, &BUCKET_BOUNDS_SECONDS);
        let it = &instruments;
        let metrics = Self {
            requests: it.counter("requests"),
            refusals: it.counter("refusals"),
            retries: it.counter("retries"),
            withheld: it.counter("withheld"),
            attempts: it.counter("attempts"),
            limited_attempts: it.counter("limited_attempts"),
            refused_updates: it.counter("refused_updates"),
            relayed: it.counter("relayed"),
            load_errors: it.counter("load_errors"),
            strays: it.counter("strays"),
            connections: it.counter("connections"),
            no_connection: it.counter("no_connection"),
            connection_waits: it.counter("connection_waits"),
            ejections: it.counter("ejections"),
            request_seconds: it.histogram("request_seconds"),
            first_piece_seconds: it.histogram("first_piece_seconds"),
            pause_seconds: it.histogram("pause_seconds"),
            store_calls: it.counter("store_calls"),
            store_call_seconds: it.histogram("store_call_seconds"),
            lines_dropped: it.counter("log_lines_dropped"),
            config_version: it.int_gauge("config_version"),
            config_confirmed: it.float_gauge("config_confirmed_seconds"),
            listing_age: it.float_gauge("listing_age_seconds"),
            endpoints: it.int_gauge("endpoints"),
            ejected: it.int_gauge("endpoints_resting"),
            endpoints_limited: it.int_gauge("endpoints_limited"),
            endpoints_unreachable: it.int_gauge("endpoints_unreachable"),
            data_centres_evacuated: it.int_gauge("data_centres_emptied"),
            hosts: it.int_gauge("hosts"),
            is_reader: it.int_gauge("reads_for_all"),
            link_connections: it.int_gauge("link_connections"),
            link_handshakes: it.int_gauge("link_handshakes"),
            link_sent: it.int_gauge("link_sent_bytes"),
            link_received: it.int_gauge("link_received_bytes"),
            callers: it.int_gauge("callers"),
            requests_open: it.int_gauge("requests_open"),
            requests_held: it.int_gauge("requests_held"),
            endpoint_slowness: it.float_gauge("endpoint_slowness"),
            budget_left: it.float_gauge("retry_budget_left"),
            rollout_answers: it.int_gauge("rollout_answers"),
            rollout_share: it.float_gauge("rollout_share"),
            instruments,
        };
        metrics.start_at_zero();
        metrics
    }

    /// Returns the metrics in the Prometheus text format.
    #[must_use]
    pub fn text(&self) -> String {
        self.instruments.text()
    }

    pub(crate) fn request(&self, report: &RequestReport<'_>) {
        let outcome = report.outcome;
        self.requests.add(1, &[label("outcome", outcome.name())]);
        if let Some(reason) = outcome.reason() {
            self.refusals.add(1, &[label("reason", reason)]);
        }
        self.request_seconds.record(report.total.as_secs_f64(), &[]);
        if let Some(first) = report.time_to_first_byte {
            self.first_piece_seconds.record(first.as_secs_f64(), &[]);
        }
        if let Some(pause) = report.max_pause {
            self.pause_seconds.record(pause.as_secs_f64(), &[]);
        }
    }

    pub(crate) fn attempt(&self, ending: Ending) {
        self.attempts.add(1, &[label("ending", ending.to_string())]);
    }

    pub(crate) fn limited_attempt(&self) {
        self.limited_attempts.add(1, &[]);
    }

    pub(crate) fn strays(&self, strays: u32) {
        self.strays.add(strays.into(), &[]);
    }

    pub(crate) fn connect(&self, opened: bool) {
        let result = if opened { "opened" } else { "failed" };
        self.connections.add(1, &[label("result", result)]);
    }

    pub(crate) fn no_connection(&self, reason: NoConnection) {
        self.no_connection
            .add(1, &[label("reason", reason.to_string())]);
    }

    pub(crate) fn connection_wait(&self) {
        self.connection_waits.add(1, &[]);
    }

    pub(crate) fn lines_dropped(&self, lines: u64) {
        self.lines_dropped.add(lines, &[]);
    }

    /// Counts a retry, by how the previous attempt ended.
    pub fn retry(&self, ending: Ending) {
        self.retries.add(1, &[label("reason", ending.to_string())]);
    }

    /// Counts an attempt that the router withheld after its connection was ready.
    pub fn withheld(&self, reason: Withheld) {
        self.withheld.add(1, &[label("reason", reason.to_string())]);
    }

    /// Counts an update from another host that couldn't be applied.
    pub fn refused_update(&self, update: RefusedUpdate) {
        self.refused_updates
            .add(1, &[label("kind", update.to_string())]);
    }

    /// Counts a load report that wasn't used.
    pub fn load_error(&self, reason: LoadError) {
        self.load_errors
            .add(1, &[label("reason", reason.to_string())]);
    }

    /// Counts a request that was forwarded through another host.
    pub fn relay(&self, result: RelayResult) {
        self.relayed.add(1, &[label("result", result.to_string())]);
    }

    /// Counts an ejection of an endpoint.
    pub fn ejection(&self, reason: Ending) {
        self.ejections
            .add(1, &[label("reason", reason.to_string())]);
    }

    /// Counts a call to the store. `took` is `None` for long polls.
    pub fn store_call(
        &self,
        call: &'static str,
        result: String,
        took: Option<std::time::Duration>,
    ) {
        self.store_calls
            .add(1, &[label("call", call), label("result", result)]);
        if let Some(took) = took {
            self.store_call_seconds
                .record(took.as_secs_f64(), &[label("call", call)]);
        }
    }

    /// Sets the gauges.
    pub fn set_gauges(&self, gauges: &Gauges) {
        self.config_version.record(gauges.config_version, &[]);
        self.config_confirmed.record(gauges.config_confirmed, &[]);
        self.listing_age.record(gauges.listing_age, &[]);
        self.endpoints.record(gauges.endpoints, &[]);
        self.ejected.record(gauges.ejected, &[]);
        self.endpoints_limited.record(gauges.endpoints_limited, &[]);
        self.endpoints_unreachable
            .record(gauges.endpoints_unreachable, &[]);
        self.data_centres_evacuated
            .record(gauges.data_centres_evacuated, &[]);
        self.hosts.record(gauges.hosts, &[]);
        self.is_reader.record(gauges.is_reader, &[]);
        self.link_connections.record(gauges.links.connections, &[]);
        self.link_handshakes.record(gauges.links.handshakes, &[]);
        self.link_sent.record(gauges.links.sent, &[]);
        self.link_received.record(gauges.links.received, &[]);
        self.callers.record(gauges.callers, &[]);
        self.requests_open.record(gauges.requests, &[]);
        self.requests_held.record(gauges.quarantined, &[]);
        for (service, it) in &gauges.slowness {
            let rows = [
                ("fastest", it.fastest),
                ("median", it.median),
                ("slowest", it.slowest),
            ];
            for (endpoint, slowness) in rows {
                let service = label("service", service.clone());
                self.endpoint_slowness
                    .record(slowness, &[service, label("endpoint", endpoint)]);
            }
        }
        for (service, left) in &gauges.retry_budgets {
            self.budget_left
                .record(*left, &[label("service", service.clone())]);
        }
        for (service, share, evidence) in &gauges.rollouts {
            let labels = |release: &'static str, quality: &'static str| {
                [
                    label("service", service.clone()),
                    label("release", release),
                    label("quality", quality),
                ]
            };
            self.rollout_share
                .record(*share, &[label("service", service.clone())]);
            for (release, tally) in [("new", evidence.new), ("old", evidence.old)] {
                let (answers, bad) = (u64::from(tally.responses), u64::from(tally.failures));
                self.rollout_answers
                    .record(answers.saturating_sub(bad), &labels(release, "good"));
                self.rollout_answers.record(bad, &labels(release, "bad"));
            }
        }
    }

    fn start_at_zero(&self) {
        for outcome in [
            "answered",
            "denied",
            "rejected",
            "refused",
            "passed",
            "lost",
            "late",
            "caller_gone",
        ] {
            self.requests.add(0, &[label("outcome", outcome)]);
        }
        for denial in Denial::ALL {
            self.refusals.add(0, &[label("reason", denial.to_string())]);
        }
        for shortage in Shortage::ALL {
            self.refusals
                .add(0, &[label("reason", shortage.to_string())]);
        }
        for reason in ["rejected", "refused", "passed", "lost", "late"] {
            self.refusals.add(0, &[label("reason", reason)]);
        }
        for ending in Ending::ALL {
            self.attempts.add(0, &[label("ending", ending.to_string())]);
            self.retries.add(0, &[label("reason", ending.to_string())]);
            self.ejections
                .add(0, &[label("reason", ending.to_string())]);
        }
        for reason in Withheld::ALL {
            self.withheld.add(0, &[label("reason", reason.to_string())]);
        }
        for reason in NoConnection::ALL {
            self.no_connection
                .add(0, &[label("reason", reason.to_string())]);
        }
        for update in RefusedUpdate::ALL {
            self.refused_updates
                .add(0, &[label("kind", update.to_string())]);
        }
        for reason in LoadError::ALL {
            self.load_errors
                .add(0, &[label("reason", reason.to_string())]);
        }
        for result in RelayResult::ALL {
            self.relayed.add(0, &[label("result", result.to_string())]);
        }
        self.limited_attempts.add(0, &[]);
        self.connection_waits.add(0, &[]);
        self.strays.add(0, &[]);
        self.lines_dropped.add(0, &[]);
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

fn label(key: &'static str, value: impl Into<opentelemetry::Value>) -> KeyValue {
    KeyValue::new(key, value)
}
