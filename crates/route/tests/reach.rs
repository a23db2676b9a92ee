//! Tests of the decision whether a host is cut off from all endpoints.

#[allow(dead_code, reason = "other test programs use the rest")]
#[path = "harness/router.rs"]
mod harness;

use std::time::Duration;

use route::Router;
use route::directory::Absence;
use route::endpoint::Key;
use route::reach::State;

const NOW: Duration = Duration::from_secs(100);

/// Returns a router that knows this many endpoints, and their keys.
fn with_endpoints(count: usize) -> (Router, Vec<Key>) {
    let mut router = harness::router(None, 1);
    let entry = |nr| harness::entry(&format!("e-{nr}"), "v1", Duration::ZERO);
    router.update_listing(NOW, (0..count).map(entry).collect(), Absence::Gone);
    let service = "pool".into();
    let keys = router.directory().endpoints_of(&service);
    let keys = keys.map(|it| it.0).collect();
    (router, keys)
}

/// Returns what the router concludes from connections that fail (`x`) or open (`o`), each to the
/// next endpoint.
fn check(endpoints: usize, connects: &str, expected: State) {
    let (mut router, keys) = with_endpoints(endpoints);
    for (connect, key) in connects.chars().zip(keys.iter().cycle()) {
        match connect {
            'o' => router.connect_opened(),
            _ => router.connect_failed(NOW, *key),
        }
    }
    assert_eq!(router.reach(), expected, "{endpoints} {connects}");
}

#[test]
fn a_host_is_cut_off_after_several_endpoints_failed_in_a_row() {
    for endpoints in [6, 64, 9_756] {
        check(endpoints, "", State::Reachable);
        check(endpoints, "xxx", State::Reachable);
        check(endpoints, "xxxx", State::CutOff);
        check(endpoints, "xxoxx", State::Reachable);
        check(endpoints, "xxxxo", State::Reachable);
    }
    check(2, "xx", State::CutOff);
    check(1, "xxxxxx", State::CutOff);
}

/// Guards against taking one endpoint that is down for all of them.
#[test]
fn failures_of_one_endpoint_count_once() {
    let (mut router, keys) = with_endpoints(6);
    for _ in 0..10 {
        router.connect_failed(NOW, keys[0]);
    }
    assert_eq!(router.reach(), State::Reachable);
    assert!(!router.needs_reach_checks());
}

/// Guards against adding up failures that have nothing to do with each other.
#[test]
fn failures_far_apart_do_not_add_up() {
    let (mut router, keys) = with_endpoints(64);
    for (nr, key) in (0..).zip(keys) {
        router.connect_failed(NOW + nr * Duration::from_secs(3), key);
        assert_eq!(router.reach(), State::Reachable);
    }
}

/// Guards against checks that grow with the number of endpoints.
#[test]
fn few_endpoints_are_checked_at_any_size() {
    for endpoints in [6, 64, 9_756] {
        let (mut router, keys) = with_endpoints(endpoints);
        assert!(router.reach_checks().is_empty());
        for key in &keys[..2] {
            router.connect_failed(NOW, *key);
        }
        let checks = router.reach_checks();
        assert_eq!(checks.len(), 4, "{endpoints}");
        assert!(checks.iter().all(|it| !keys[..2].contains(&it.0)));
        for it in checks {
            router.connect_failed(NOW, it.0);
        }
        assert_eq!(router.reach(), State::CutOff);
        assert_eq!(router.reach_checks().len(), 2, "{endpoints}");
    }
}
