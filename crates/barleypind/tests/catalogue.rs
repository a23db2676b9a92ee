//! Checks that the reference pages list exactly the events and metrics in the code.

use std::collections::BTreeSet;
use std::fmt::Write;
use std::fs;
use std::path::Path;
use std::time::Duration;

use barleypind::event::Event;
use barleypind::metrics::{CATALOGUE, CallKind, Metrics};
use expect_test::expect_file;

#[test]
fn event_page_lists_all_events() {
    let mut page = String::from(
        "# Events\n\nThe daemon's log events. Numbers are never reused. Events have fields with details, which never contain key material.\n\n| number | level | name | message |\n|---|---|---|---|\n",
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
    expect_file!["../../../docs/reference/events.md"].assert_eq(&page);
}

#[test]
fn event_numbers_rise_and_are_unique() {
    let numbers: Vec<u16> = Event::ALL.iter().map(|it| it.number()).collect();
    assert!(numbers.is_sorted_by(|a, b| a < b), "{numbers:?}");
}

#[test]
fn every_event_is_logged_somewhere() {
    let mut source = String::new();
    read(Path::new("src"), &mut source);
    for event in Event::ALL {
        let logged = source.contains(&format!("Event::{event:?}"))
            || source.contains(&format!("Logged::{event:?}"));
        assert!(logged, "{event:?} is in the catalogue but never logged");
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
fn metrics_page_lists_all_metrics() {
    let mut page = String::from(
        "# Metrics\n\n`GET /metrics` returns Prometheus' text format. Counters by reason are exported as zero for every reason from the start.\n\n| metric | description |\n|---|---|\n",
    );
    for (name, help) in CATALOGUE {
        writeln!(page, "| `{name}` | {help} |").unwrap();
    }
    expect_file!["../../../docs/reference/metrics.md"].assert_eq(&page);
}

#[test]
fn exported_metrics_equal_the_catalogue() {
    let metrics = Metrics::new();
    metrics.call_ended(CallKind::Chat, Duration::ZERO);
    metrics.first_token(Duration::ZERO);
    metrics.decided(Duration::ZERO);
    let text = metrics.text();
    let exported: BTreeSet<&str> = text
        .lines()
        .filter_map(|line| line.strip_prefix("# TYPE ")?.split(' ').next())
        .collect();
    let listed: BTreeSet<&str> = CATALOGUE.iter().map(|(name, _)| *name).collect();
    assert_eq!(exported, listed);
}
