//! The clock of the operating system.

use std::time::Duration;

use kernel::{Clock, MAX_AGE, SystemClock};

/// Guards against taking what is older than the process to be as old as the process.
#[test]
fn ages_that_a_process_is_told_lie_within_its_clock() {
    let clock = SystemClock::new();
    let now = clock.now();
    assert!(now >= MAX_AGE);
    for age in [Duration::from_secs(1), Duration::from_hours(1), MAX_AGE] {
        let at = now.checked_sub(age).unwrap();
        assert_eq!(now.saturating_sub(at), age);
    }
}
