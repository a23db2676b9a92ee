//! Tests of the meaning of a missing entry after failed readings of the store.

use std::time::Duration;

use host::{Backoff, Outage};
use route::directory::Absence;
use route::directory::Absence::{Gone, Lapsed};

const HEARTBEAT: Duration = Duration::from_millis(1_200);

fn millis(it: u64) -> Duration {
    Duration::from_millis(it)
}

/// Checks the meaning of a missing entry in a reading at `now`, after the last failure at
/// `failed`, with the listing in use read at `known`. All times in milliseconds.
fn check(now: u64, failed: Option<u64>, known: Option<(u64, Absence)>, expect: Absence) {
    let mut outage = Outage::new(HEARTBEAT);
    if let Some(at) = failed {
        outage.record_failure(millis(at));
    }
    let known = known.map(|(at, absence)| (millis(at), absence));
    assert_eq!(outage.absence(millis(now), known), expect);
}

/// Checks a series of readings by one host. At first, the listing in use is one that was read
/// at `last`, and the host's last failure was at `failed`; then, each reading is the listing in
/// use at the next. All times in milliseconds.
fn check_series(last: u64, failed: u64, readings: &[(u64, Absence)]) {
    let mut outage = Outage::new(HEARTBEAT);
    outage.record_failure(millis(failed));
    let mut known = (millis(last), Gone);
    for &(now, expect) in readings {
        let absence = outage.absence(millis(now), Some(known));
        assert_eq!(absence, expect, "at {now}");
        known = (millis(now), absence);
    }
}

/// Guards against a host that alone was cut off from the store taking missing entries for
/// lapsed: all hosts would send requests to endpoints that are gone for too long.
#[test]
fn host_cut_off_alone_drops_missing_endpoints() {
    let readings = [(12_187, Gone), (13_196, Gone)];
    check_series(11_630, 11_500, &readings);
    check_series(11_630, 11_900, &readings);
}

#[test]
fn missing_endpoints_stay_for_a_while_after_an_outage() {
    let readings = [
        (9_000, Lapsed),
        (10_000, Lapsed),
        (11_200, Gone),
        (12_200, Gone),
    ];
    check_series(4_000, 8_900, &readings);
}

#[test]
fn host_without_listing_relies_on_its_own_failures() {
    check(500, None, None, Gone);
    check(500, Some(100), None, Lapsed);
}

/// Guards against a host that started during an outage, and has no failed readings,
/// declaring lapsed entries gone: all hosts would drop live endpoints.
#[test]
fn host_started_during_outage_keeps_lapsed_endpoints() {
    check(5_300, None, Some((5_200, Lapsed)), Lapsed);
}

/// Guards against forgetting a failure before the next reading: hosts of a large fleet
/// wait for seconds between two calls to a store that fails.
#[test]
fn long_backoff_does_not_end_an_outage() {
    let mut backoff = Backoff::default();
    let delay = (0..8).map(|_| backoff.next_delay(294, 0.0)).last().unwrap();
    let now = 3_000 + u64::try_from(delay.as_millis()).unwrap();
    check(now, Some(3_000), Some((0, Gone)), Lapsed);
    check(5_500, Some(3_000), Some((5_100, Lapsed)), Lapsed);
}

/// Guards against each refused call counting as a new outage: endpoints that are gone would
/// get requests for as long as the store fails intermittently.
#[test]
fn intermittent_failures_do_not_extend_an_outage() {
    let (mut outage, mut known, mut now) = (Outage::new(HEARTBEAT), (millis(0), Gone), 3_000);
    for _ in 0..20 {
        outage.record_failure(millis(now));
        let at = millis(now + 150);
        known = (at, outage.absence(at, Some(known)));
        now += 1_150;
    }
    assert_eq!(known.1, Gone);
}

/// Guards against taking entries for lapsed where endpoints renew them seldom: they outlast a
/// short outage, so a missing one is gone.
#[test]
fn shortest_outage_follows_the_heartbeat() {
    for (heartbeat, outage, expect) in [
        (1_200, 1_900, Gone),
        (1_200, 2_100, Lapsed),
        (5_000, 9_000, Gone),
        (5_000, 9_700, Lapsed),
    ] {
        let mut state = Outage::new(millis(heartbeat));
        state.record_failure(millis(1_500));
        let absence = state.absence(millis(1_000 + outage), Some((millis(1_000), Gone)));
        assert_eq!(absence, expect, "{heartbeat} {outage}");
    }
}
