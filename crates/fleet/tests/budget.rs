//! Guards against traffic per host that grows with the fleet. The measurement at
//! the target size is in docs/design/membership.md.

use std::time::Duration;

use fleet::measure::{Incident, incident, measure};

#[test]
fn traffic_and_delays_stay_within_limits_at_48_hosts() {
    let small = measure(12, 24, 1);
    let large = measure(48, 24, 1);
    assert!(large.bytes_mean < 7_000.0, "{large}");
    assert!(
        large.bytes_mean < small.bytes_mean * 1.5,
        "{small}\n{large}"
    );
    assert!(large.frames < small.frames * 1.5, "{small}\n{large}");
    assert!(large.revision_max < Duration::from_secs(5), "{large}");
    assert!(large.proof_age_max < Duration::from_secs(5), "{large}");
    assert!(large.suspicion_max < Duration::from_secs(5), "{large}");
    assert_eq!(small.false_deaths + large.false_deaths, 0);
}

#[test]
fn equal_seeds_give_equal_figures() {
    let mut figures = [measure(6, 8, 7), measure(6, 8, 7)];
    for it in &mut figures {
        it.processor = 0.0;
    }
    assert_eq!(figures[0], figures[1]);
}

#[test]
fn reconnected_data_centre_causes_no_false_unreachable() {
    let cost = incident(24, 1, Incident::DataCentreCut);
    assert_eq!(cost.wrong, 0, "{cost}");
    assert!(cost.settled < Duration::from_secs(5), "{cost}");
}
