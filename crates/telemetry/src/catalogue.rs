//! The catalogue of a relaying host's metrics.

/// The name and help text of each metric. The generated page is
/// `docs/reference/relay-metrics.md`.
pub const CATALOGUE: &[(&str, &str)] = &[
    ("barleypin_requests_total", "Requests ended, by outcome."),
    (
        "barleypin_refusals_total",
        "Requests that got a refusal of this host's own, by reason; no_capacity, over_share and early_retry are for lack of capacity.",
    ),
    (
        "barleypin_retries_total",
        "Attempts after a request's first one, by how the one before ended.",
    ),
    (
        "barleypin_withheld_total",
        "Attempts whose endpoint was no longer allowed when they were to go out, by reason.",
    ),
    ("barleypin_attempts_total", "Attempts ended, by ending."),
    (
        "barleypin_strays_total",
        "Answers to other requests that came on an endpoint's connection and were dropped.",
    ),
    (
        "barleypin_connections_total",
        "Connections to endpoints, by whether they could be opened.",
    ),
    (
        "barleypin_no_connection_total",
        "Attempts ended for lack of a connection to their endpoint, by reason.",
    ),
    (
        "barleypin_connection_waits_total",
        "Attempts that waited for a connection to their endpoint to become free.",
    ),
    (
        "barleypin_ejections_total",
        "Endpoints that were left alone for a while, by reason.",
    ),
    (
        "barleypin_request_seconds",
        "Time from a request's head to the end of its answer.",
    ),
    (
        "barleypin_first_piece_seconds",
        "Time from a request's head to the first part of an endpoint's answer.",
    ),
    (
        "barleypin_pause_seconds",
        "The longest pause between two parts of each streamed answer.",
    ),
    (
        "barleypin_store_calls_total",
        "Calls to the store, by kind and result.",
    ),
    (
        "barleypin_store_call_seconds",
        "Time that calls to the store took, but for those that wait for news.",
    ),
    (
        "barleypin_config_version",
        "The version of the configuration in force.",
    ),
    (
        "barleypin_config_confirmed_seconds",
        "Time since the store or another host last confirmed the configuration.",
    ),
    (
        "barleypin_listing_age_seconds",
        "Age of the listing of endpoints.",
    ),
    ("barleypin_endpoints", "Endpoints that take work."),
    (
        "barleypin_endpoints_resting",
        "Endpoints that are left alone.",
    ),
    (
        "barleypin_data_centres_emptied",
        "Data centres to whose endpoints nothing is sent.",
    ),
    ("barleypin_hosts", "Hosts that callers are sent to."),
    (
        "barleypin_reads_for_all",
        "Whether this host reads the store for all: 1 or 0.",
    ),
    (
        "barleypin_link_connections",
        "Open connections to other hosts.",
    ),
    (
        "barleypin_link_handshakes",
        "Connections with other hosts that came about since the start.",
    ),
    (
        "barleypin_link_sent_bytes",
        "Bytes sent to other hosts since the start, with all that QUIC and TLS add.",
    ),
    ("barleypin_link_received_bytes", "The same, received."),
    ("barleypin_callers", "Callers' open connections."),
    ("barleypin_requests_open", "Requests being worked on."),
    (
        "barleypin_endpoints_limited",
        "Endpoints that state a limit on the rate of requests from all hosts together.",
    ),
    (
        "barleypin_endpoints_unreachable",
        "Whether this host can't open a connection to any endpoint: 1 or 0.",
    ),
    (
        "barleypin_relayed_total",
        "Requests sent to another host because no endpoint could be reached, by result.",
    ),
    (
        "barleypin_limited_attempts_total",
        "Attempts sent to endpoints that were known to state such a limit.",
    ),
    (
        "barleypin_refused_updates_total",
        "Updates of the listing of endpoints from other hosts that couldn't be applied, by kind.",
    ),
    (
        "barleypin_load_errors_total",
        "Load reports of endpoints that weren't used, by reason.",
    ),
    (
        "barleypin_endpoint_slowness",
        "How many times longer work takes at the fastest, the median and the slowest endpoint than at a usual one, by service.",
    ),
    (
        "barleypin_requests_held",
        "Requests that go nowhere because endpoints end under them.",
    ),
    (
        "barleypin_retry_budget_left",
        "Repeats that this host may still send, by service.",
    ),
    (
        "barleypin_rollout_answers",
        "Answers that hosts have pooled about a roll-out, by service, release and quality.",
    ),
    (
        "barleypin_rollout_share",
        "Share of requests that a release being rolled out gets, by service.",
    ),
    (
        "barleypin_log_lines_dropped_total",
        "Log lines dropped to keep their number bounded.",
    ),
];
