//! The reference pages list exactly the events and metrics of the code.

use std::collections::BTreeSet;
use std::fmt::Write;
use std::fs;
use std::path::Path;
use std::time::Duration;

use expect_test::expect_file;
use kernel::RequestId;
use route::Slowness;
use route::rollout::Evidence;
use telemetry::{CATALOGUE, Event, Gauges, Metrics};

#[test]
fn event_page_lists_every_event() {
    let mut page = String::from(
        "# Events of a relaying host\n\nWhat `barleypin-platform` logs on standard output, one JSON object per line. Numbers are never reused. How to use them: [OPERATIONS](../OPERATIONS.md). Key material is never among the fields.\n\n| number | level | name | message |\n|---|---|---|---|\n",
    );
    for event in Event::ALL {
        writeln!(
            page,
            "| {} | {} | {event:?} | {} |",
            event.number(),
            event.level().as_str().to_lowercase(),
            event.message()
        )
        .unwrap();
    }
    expect_file!["../../../docs/reference/relay-events.md"].assert_eq(&page);
}

#[test]
fn event_numbers_are_strictly_increasing() {
    let numbers: Vec<u16> = Event::ALL.iter().map(|it| it.number()).collect();
    assert!(numbers.is_sorted_by(|a, b| a < b), "{numbers:?}");
}

#[test]
fn every_event_is_logged_somewhere() {
    let mut source = String::new();
    for folder in ["src", "../forward/src", "../host/src", "../../platform/src"] {
        read(Path::new(folder), &mut source);
    }
    for event in Event::ALL {
        assert!(
            source.contains(&format!("Event::{event:?}")),
            "{event:?} is in the catalogue but never logged"
        );
    }
}

fn read(dir: &Path, source: &mut String) {
    for entry in fs::read_dir(dir).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            read(&path, source);
        } else {
            source.push_str(&fs::read_to_string(path).unwrap());
        }
    }
}

#[test]
fn metrics_page_lists_every_metric() {
    let mut page = String::from(
        "# Metrics of a relaying host\n\n`barleypin-platform` answers any request at its metrics address, except for `/explain` ([design/explain.md](../design/explain.md)), in the Prometheus text format. Times are in seconds. Every reason of a refusal or retry is there as zero from the start.\n\n| metric | tells |\n|---|---|\n",
    );
    for (name, help) in CATALOGUE {
        writeln!(page, "| `{name}` | {help} |").unwrap();
    }
    expect_file!["../../../docs/reference/relay-metrics.md"].assert_eq(&page);
}

#[test]
fn exported_metrics_match_the_catalogue() {
    let metrics = Metrics::new();
    metrics.set_gauges(&Gauges {
        slowness: vec![("pool".to_owned(), Slowness::default())],
        retry_budgets: vec![("pool".to_owned(), 3.0)],
        rollouts: vec![("pool".to_owned(), 0.1, Evidence::default())],
        ..Gauges::default()
    });
    metrics.store_call(
        "endpoints",
        "done".to_owned(),
        Some(Duration::from_millis(4)),
    );
    let recorder = telemetry::Recorder::new(
        telemetry::Log::to("edge-1", std::io::sink()),
        metrics.into(),
        std::sync::Arc::new(kernel::ManualClock::default()),
    );
    let report = telemetry::RequestReport {
        fingerprint: None,
        id: &RequestId::from("q1"),
        route: None,
        customer: None,
        outcome: telemetry::Outcome::Answered,
        status: 200,
        time_to_first_byte: Some(Duration::from_millis(3)),
        max_pause: Some(Duration::from_millis(2)),
        total: Duration::from_millis(9),
        attempts: 1,
        events: 0,
        trail: "",
        attempt_summary: telemetry::AttemptSummary::NoneFailed,
        config_version: None,
    };
    recorder.record_request(&report);
    recorder.record_connect(&"i-1".into(), Duration::ZERO, None);
    let text = recorder.metrics().text();
    let exported: BTreeSet<&str> = text
        .lines()
        .filter_map(|it| it.strip_prefix("# TYPE "))
        .filter_map(|it| it.split(' ').next())
        .collect();
    let expected: BTreeSet<&str> = CATALOGUE.iter().map(|it| it.0).collect();
    assert_eq!(exported, expected);
}
