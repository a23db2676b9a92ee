//! What a missing entry means after readings of the store have failed.

use std::time::Duration;

use host::Outage;
use route::directory::Absence;

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

/// Requests went to an endpoint for more than two seconds after its entry was gone. One
/// host had been cut off from the store, which served all others. Its next reading, for
/// everyone, came when the entry was gone; as its readings before had failed, it kept the
/// endpoint as one whose entry might have lapsed, and so did all who heard of it. The
/// listing that it had from the others was half a second old: nothing could have lapsed.
#[test]
fn a_host_that_was_cut_off_alone_drops_what_is_missing() {
    check(
        12_187,
        Some(11_500),
        Some((11_630, Absence::Gone)),
        Absence::Gone,
    );
    check(
        13_196,
        Some(11_500),
        Some((12_187, Absence::Gone)),
        Absence::Gone,
    );
}

#[test]
fn what_is_missing_after_an_outage_is_kept_for_a_while() {
    check(
        9_000,
        Some(8_900),
        Some((4_000, Absence::Gone)),
        Absence::Lapsed,
    );
    check(
        10_000,
        Some(8_900),
        Some((9_000, Absence::Lapsed)),
        Absence::Lapsed,
    );
    check(
        11_200,
        Some(8_900),
        Some((10_200, Absence::Lapsed)),
        Absence::Gone,
    );
}

#[test]
fn a_host_that_knows_no_listing_goes_by_its_failures() {
    check(500, None, None, Absence::Gone);
    check(500, Some(100), None, Absence::Lapsed);
}
