//! The report of a load measurement.

use std::time::Duration;

use comfy_table::Table;
use serde_json::{Value, json};

use crate::load::measurement::Measurement;
use crate::load::setup::STREAM_WORDS;

/// The figures of both targets.
#[derive(Debug)]
pub(crate) struct Figures {
    offered_requests: u32,
    offered_tokens: u32,
    pub(crate) direct: Pair,
    pub(crate) host: Pair,
    /// The host's processor time under the load without streaming.
    pub(crate) cpu_unary: Duration,
    /// The host's processor time under the streaming load.
    pub(crate) cpu_streaming: Duration,
    /// The processor time of the host that holds copies of the billing records.
    pub(crate) copy_holder_cpu: Duration,
    /// The host's peak resident memory in KiB.
    pub(crate) peak_kib: u64,
}

/// The measurements of both kinds of load on one target.
#[derive(Debug, Default)]
pub(crate) struct Pair {
    pub(crate) unary: Measurement,
    pub(crate) streaming: Measurement,
}

impl Figures {
    pub(crate) fn new(offered_requests: u32, offered_tokens: u32) -> Self {
        Self {
            offered_requests,
            offered_tokens,
            direct: Pair::default(),
            host: Pair::default(),
            cpu_unary: Duration::ZERO,
            cpu_streaming: Duration::ZERO,
            copy_holder_cpu: Duration::ZERO,
            peak_kib: 0,
        }
    }

    pub(crate) fn json(&self) -> Value {
        json!({
            "offered_requests_per_s": self.offered_requests,
            "offered_tokens_per_s": self.offered_tokens,
            "added_p50_ms": self.added(0.5),
            "added_p99_ms": self.added(0.99),
            "direct": target(&self.direct),
            "host": target(&self.host),
            "cpu_us_per_request": micros_per(self.cpu_unary, self.host.unary.responses),
            "cpu_us_per_token": micros_per(self.cpu_streaming, self.streamed()),
            "partner_cpu_us_per_request": micros_per(self.copy_holder_cpu, self.host.unary.responses + self.host.streaming.responses),
            "cpu_ms_total": millis(self.cpu_unary + self.cpu_streaming),
            "peak_memory_kib": self.peak_kib,
        })
    }

    pub(crate) fn print(&self) {
        let mut rows = Table::new();
        rows.set_header(["target", "p50 ms", "p99 ms", "req/s", "tokens/s", "failed"]);
        for (name, pair) in [("stand-in", &self.direct), ("host", &self.host)] {
            rows.add_row([
                name.to_owned(),
                format!("{:.3}", millis(pair.unary.quantile(0.5))),
                format!("{:.3}", millis(pair.unary.quantile(0.99))),
                format!("{:.0}", pair.unary.responses_per_second()),
                format!("{:.0}", pair.streaming.tokens_per_second()),
                failures(pair),
            ]);
        }
        println!("{rows}");
        println!(
            "added by the host: p50 {:.3} ms, p99 {:.3} ms; processor {:.1} us a request, {:.2} us a token; peak memory {} KiB",
            self.added(0.5),
            self.added(0.99),
            micros_per(self.cpu_unary, self.host.unary.responses),
            micros_per(self.cpu_streaming, self.streamed()),
            self.peak_kib,
        );
    }

    /// Returns the number of words in the complete streamed responses, including those of the
    /// ramp-up.
    fn streamed(&self) -> u64 {
        self.host.streaming.responses * u64::from(STREAM_WORDS)
    }

    /// Returns the latency in milliseconds that the host adds at a quantile. The difference may be
    /// negative because of noise.
    fn added(&self, quantile: f64) -> f64 {
        millis(self.host.unary.quantile(quantile)) - millis(self.direct.unary.quantile(quantile))
    }
}

fn failures(pair: &Pair) -> String {
    let all = pair.unary.failures.iter().chain(&pair.streaming.failures);
    let list: Vec<_> = all
        .map(|(reason, count)| format!("{count} {reason}"))
        .collect();
    list.join("\n")
}

fn target(pair: &Pair) -> Value {
    json!({
        "p50_ms": millis(pair.unary.quantile(0.5)),
        "p99_ms": millis(pair.unary.quantile(0.99)),
        "requests_per_s": pair.unary.responses_per_second(),
        "requests_failed": pair.unary.failures,
        "stream_p50_ms": millis(pair.streaming.quantile(0.5)),
        "stream_p99_ms": millis(pair.streaming.quantile(0.99)),
        "tokens_per_s": pair.streaming.tokens_per_second(),
        "streams_failed": pair.streaming.failures,
    })
}

/// Returns `time` divided by `count` in microseconds.
fn micros_per(time: Duration, count: u64) -> f64 {
    let count = u32::try_from(count.max(1)).unwrap_or(u32::MAX);
    time.as_secs_f64() * 1e6 / f64::from(count)
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}
