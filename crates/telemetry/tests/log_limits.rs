//! The limits of the log.

use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::Duration;

use kernel::{ManualClock, RequestId};
use route::Failure;
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

impl Sink {
    /// Returns the lines once no more are written.
    fn lines(&self) -> Vec<serde_json::Value> {
        let mut len = usize::MAX;
        loop {
            sleep(Duration::from_millis(100));
            let bytes = self.0.lock().unwrap().clone();
            if bytes.len() == len {
                let text = String::from_utf8(bytes).unwrap();
                return text
                    .lines()
                    .map(|it| serde_json::from_str(it).unwrap())
                    .collect();
            }
            len = bytes.len();
        }
    }
}

fn recorder() -> (Recorder, Sink, Arc<ManualClock>) {
    let (sink, clock) = (Sink::default(), Arc::<ManualClock>::default());
    let recorder = Recorder::new(
        Log::to("edge-1", sink.clone()),
        Arc::default(),
        clock.clone(),
    );
    (recorder, sink, clock)
}

fn report(id: &RequestId, outcome: Outcome) -> RequestReport<'_> {
    RequestReport {
        fingerprint: None,
        id,
        route: Some("draft"),
        customer: Some("studio"),
        outcome,
        status: 200,
        time_to_first_byte: None,
        max_pause: None,
        total: Duration::from_millis(9),
        attempts: 1,
        events: 0,
        trail: "i-1 answered 9",
        attempt_summary: AttemptSummary::NoneFailed,
        config_version: Some(7),
    }
}

/// A failing service must not flood the log: lines are limited, and those dropped are counted.
#[test]
fn flood_of_failures_is_limited_and_counted() {
    let (recorder, sink, clock) = recorder();
    let lost = Outcome::Failed(Failure::Lost);
    for nr in 0..5_000 {
        recorder.record_request(&report(&RequestId::from(format!("q{nr}")), lost));
    }
    clock.advance(Duration::from_secs(2));
    recorder.log_dropped_lines();
    let lines = sink.lines();
    assert_eq!(lines.len(), 601);
    assert_eq!(lines.last().unwrap()["lines"], 4_400);
    assert_eq!(lines[0]["request"], "q0");
    assert_eq!(lines[0]["reason"], "lost");
    let text = recorder.metrics().text();
    assert!(text.contains("barleypin_log_lines_dropped_total 4400"));
    assert!(text.contains("barleypin_requests_total{outcome=\"lost\"} 5000"));
}

#[test]
fn requests_without_failures_are_sampled() {
    let (recorder, sink, _) = recorder();
    for nr in 0..5_000 {
        recorder.record_request(&report(
            &RequestId::from(format!("q{nr}")),
            Outcome::Answered,
        ));
    }
    let lines = sink.lines().len();
    assert!((60..=140).contains(&lines), "{lines}");
}

/// A log whose output nobody reads must not block requests.
#[test]
fn blocked_log_output_does_not_block_requests() {
    struct BlockedSink;
    impl Write for BlockedSink {
        fn write(&mut self, _: &[u8]) -> io::Result<usize> {
            loop {
                sleep(Duration::from_mins(1));
            }
        }
        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }
    let clock = Arc::<ManualClock>::default();
    let metrics = Arc::<Metrics>::default();
    let recorder = Recorder::new(
        Log::to("edge-1", BlockedSink),
        Arc::clone(&metrics),
        clock.clone(),
    );
    for nr in 0..20_000 {
        clock.advance(Duration::from_millis(10));
        let lost = Outcome::Failed(Failure::Lost);
        recorder.record_request(&report(&RequestId::from(format!("q{nr}")), lost));
    }
    assert!(
        metrics
            .text()
            .contains("barleypin_requests_total{outcome=\"lost\"} 20000")
    );
    // Dropping the log would wait for the writer's thread, which is blocked.
    std::mem::forget(recorder);
}
