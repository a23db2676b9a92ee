//! Refusals for lack of capacity in the log and the metrics.

use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use kernel::{ManualClock, RequestId};
use route::{Failure, Shortage};
use telemetry::{AttemptSummary, Log, Metrics, Outcome, Recorder, RequestReport};

#[derive(Clone, Default)]
struct Sink(Arc<Mutex<Vec<u8>>>);

impl Write for Sink {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Records a refusal for each reason, and returns the log's lines and the metrics.
fn record() -> (Vec<serde_json::Value>, String) {
    let (sink, metrics) = (Sink::default(), Arc::<Metrics>::default());
    let log = Log::to("edge-1", sink.clone());
    let recorder = Recorder::new(log, Arc::clone(&metrics), Arc::<ManualClock>::default());
    let shortages = [
        Shortage::NoCapacity {
            wait: Duration::from_secs(7),
        },
        Shortage::OverShare {
            admitted: 30,
            allowed: 29,
        },
        Shortage::EarlyRetry,
    ];
    for shortage in shortages {
        recorder.record_request(&RequestReport {
            fingerprint: None,
            id: &RequestId::from("q1"),
            route: Some("draft"),
            customer: Some("studio"),
            outcome: Outcome::Failed(Failure::Overloaded {
                shortage,
                retry_after: Duration::from_millis(400),
            }),
            status: 503,
            time_to_first_byte: None,
            max_pause: None,
            total: Duration::ZERO,
            attempts: 0,
            events: 0,
            trail: "",
            attempt_summary: AttemptSummary::NoneFailed,
            config_version: Some(7),
        });
    }
    // The log is written completely once it is dropped.
    drop(recorder);
    let bytes = sink.0.lock().unwrap().clone();
    let text = String::from_utf8(bytes).unwrap();
    let lines = text.lines().map(|it| serde_json::from_str(it).unwrap());
    (lines.collect(), metrics.text())
}

/// Guards against refusals whose cause can't be told from the log.
#[test]
fn refusals_for_lack_of_capacity_are_logged_with_their_reason() {
    let (lines, _) = record();
    assert_eq!(lines.len(), 3);
    for (line, reason) in lines
        .iter()
        .zip(["no_capacity", "over_share", "early_retry"])
    {
        assert_eq!(
            (&line["event"], &line["reason"]),
            (&1102.into(), &reason.into())
        );
        assert_eq!(line["retry_after_ms"], 400);
    }
    assert_eq!(lines[0]["wait_ms"], 7_000);
    assert_eq!(
        (&lines[1]["admitted"], &lines[1]["allowed"]),
        (&30.into(), &29.into())
    );
}

/// Guards against refusals that are missing from the counters, and against counters that begin with
/// the first case.
#[test]
fn refusals_for_lack_of_capacity_are_counted_by_reason() {
    let (before, (_, after)) = (Metrics::new().text(), record());
    for shortage in Shortage::ALL {
        let counter = format!("barleypin_refusals_total{{reason=\"{shortage}\"}}");
        assert!(before.contains(&format!("{counter} 0")), "{before}");
        assert!(after.contains(&format!("{counter} 1")), "{after}");
    }
    assert!(
        after.contains("barleypin_requests_total{outcome=\"refused\"} 3"),
        "{after}"
    );
}
