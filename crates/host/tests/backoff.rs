//! Tests of the rate of calls to a store that fails.

use std::time::Duration;

use expect_test::{Expect, expect};
use host::Backoff;

/// Checks the number of calls of one kind that `hosts` hosts make in five seconds to a
/// store that refuses all of them.
fn check(hosts: usize, expect: &Expect) {
    let calls: u32 = (0..hosts)
        .map(|nr| {
            let jitter = f64::from(u32::try_from(nr).unwrap()) / 100.0;
            let (mut backoff, mut at, mut calls) = (Backoff::default(), Duration::ZERO, 0);
            while at < Duration::from_secs(5) {
                calls += 1;
                at += backoff.next_delay(hosts - 1, jitter);
            }
            calls
        })
        .sum();
    expect.assert_eq(&calls.to_string());
}

#[test]
fn single_host_retries_often() {
    check(1, &expect!["8"]);
}

/// Guards against each host of a large fleet retrying as if it were alone: the billed calls of
/// a short outage would exceed those of a day of normal operation.
#[test]
fn hosts_of_large_fleets_retry_less_often() {
    check(9, &expect!["72"]);
    check(30, &expect!["120"]);
    check(76, &expect!["304"]);
}
