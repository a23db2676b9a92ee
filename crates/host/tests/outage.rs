//! What a missing entry means after readings of the store have failed.

use std::time::Duration;

use host::{Backoff, Outage};
use route::directory::Absence;
use route::directory::Absence::{Gone, Lapsed};

fn millis(it: u64) -> Duration {
    Duration::from_millis(it)
}

/// A reading at `now`, the last failure before it, and the listing in force: when any
/// host read it, and what a missing entry meant in it. All in milliseconds.
fn check(now: u64, failed: Option<u64>, known: Option<(u64, Absence)>, expect: Absence) {
    let mut outage = Outage::default();
    if let Some(at) = failed {
        outage.fail(millis(at));
    }
    let known = known.map(|(at, absence)| (millis(at), absence));
    assert_eq!(outage.absence(millis(now), known), expect);
}

/// Readings of one host, each of them the listing in force at the next; before the first
/// the store was away since `last`.
fn check_series(last: u64, failed: u64, readings: &[(u64, Absence)]) {
    let mut outage = Outage::default();
    outage.fail(millis(failed));
    let mut known = (millis(last), Gone);
    for &(now, expect) in readings {
        let absence = outage.absence(millis(now), Some(known));
        assert_eq!(absence, expect, "at {now}");
        known = (millis(now), absence);
    }
}

/// Requests went to an endpoint for more than two seconds after its entry was gone. One
/// host had been cut off from the store, which served all others. Its next reading, for
/// everyone, came when the entry was gone; as its readings before had failed, it kept the
/// endpoint as one whose entry might have lapsed, and so did all who heard of it. The
/// listing that it had from the others was half a second old: nothing could have lapsed.
#[test]
fn a_host_that_was_cut_off_alone_drops_what_is_missing() {
    let readings = [(12_187, Gone), (13_196, Gone)];
    check_series(11_630, 11_500, &readings);
    check_series(11_630, 11_900, &readings);
}

#[test]
fn what_is_missing_after_an_outage_is_kept_for_a_while() {
    let readings = [
        (9_000, Lapsed),
        (10_000, Lapsed),
        (11_200, Gone),
        (12_200, Gone),
    ];
    check_series(4_000, 8_900, &readings);
}

#[test]
fn a_host_that_knows_no_listing_goes_by_its_failures() {
    check(500, None, None, Gone);
    check(500, Some(100), None, Lapsed);
}

/// Half of the endpoints' entries lapsed in an outage, and all hosts dropped endpoints
/// that lived. A host that had started meanwhile, whose readings had never failed, told
/// all that what was missing was gone.
#[test]
fn a_host_that_started_meanwhile_keeps_what_may_have_lapsed() {
    check(5_300, None, Some((5_200, Lapsed)), Lapsed);
}

/// The same among hundreds of hosts, which wait up to 3.2 s between two questions to a
/// store that fails: a failure of so long ago no longer counted.
#[test]
fn a_long_pause_among_many_hosts_ends_no_outage() {
    let mut backoff = Backoff::default();
    let pause = (0..8).map(|_| backoff.pause(294, 0.0)).last().unwrap();
    let now = 3_000 + u64::try_from(pause.as_millis()).unwrap();
    check(now, Some(3_000), Some((0, Gone)), Lapsed);
    check(5_500, Some(3_000), Some((5_100, Lapsed)), Lapsed);
}

/// A store refuses every second question for a long time. Each refusal was a new outage,
/// and endpoints that were gone got requests for as long as it went on.
#[test]
fn a_reader_that_is_refused_now_and_then_comes_back_to_gone() {
    let (mut outage, mut known, mut now) = (Outage::default(), (millis(0), Gone), 3_000);
    for _ in 0..20 {
        outage.fail(millis(now));
        let at = millis(now + 150);
        known = (at, outage.absence(at, Some(known)));
        now += 1_150;
    }
    assert_eq!(known.1, Gone);
}
