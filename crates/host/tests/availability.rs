//! Tests of the availability of the store to a host.

use std::time::Duration;

use host::Availability;

fn at(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

/// Returns the state of a host whose call failed at 10 s.
fn failing() -> Availability {
    let mut it = Availability::default();
    it.record_success(at(1), at(1));
    it.record_failure(at(10));
    it
}

#[test]
fn the_store_responds_from_the_beginning_of_the_first_successful_call() {
    let mut it = failing();
    assert_eq!(it.record_success(at(12), at(14)), Some(at(12)));
    assert_eq!(it.record_success(at(15), at(16)), None);
}

/// Guards against a long poll from before an outage, answered after it, vouching for polls that
/// began in the outage.
#[test]
fn a_call_from_before_a_failure_proves_nothing_of_the_time_before_the_failure() {
    let mut it = failing();
    assert_eq!(it.record_success(at(5), at(11)), Some(at(10)));
}

/// Guards against a store that serves only other hosts being called as often as they hear from it.
#[test]
fn a_response_to_another_host_counts_once_until_a_call_succeeds() {
    let mut it = failing();
    assert!(!it.record_response_to_other(at(9)));
    assert!(it.record_response_to_other(at(11)));
    it.record_failure(at(12));
    assert!(!it.record_response_to_other(at(13)));
    it.record_success(at(14), at(14));
    it.record_failure(at(15));
    assert!(it.record_response_to_other(at(16)));
}

#[test]
fn a_response_to_another_host_means_nothing_to_a_host_whose_calls_succeed() {
    let mut it = Availability::default();
    assert!(!it.record_response_to_other(at(1)));
}
