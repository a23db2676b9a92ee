//! How often hosts ask a store that fails.

use std::time::Duration;

use expect_test::{Expect, expect};
use host::Backoff;

/// The questions of so many hosts to a store that refuses all of them, in five
/// seconds, each kind of question by itself.
fn check(hosts: usize, expect: &Expect) {
    let asked: u32 = (0..hosts)
        .map(|nr| {
            let lot = f64::from(u32::try_from(nr).unwrap()) / 100.0;
            let (mut backoff, mut at, mut asked) = (Backoff::default(), Duration::ZERO, 0);
            while at < Duration::from_secs(5) {
                asked += 1;
                at += backoff.pause(hosts - 1, lot);
            }
            asked
        })
        .sum();
    expect.assert_eq(&asked.to_string());
}

#[test]
fn one_host_alone_asks_often() {
    check(1, &expect!["8"]);
}

/// The store refuses all hosts for seconds. Each asked as if it were alone, and the
/// users paid for three times the calls of a quiet day, though whoever is answered
/// first would tell the others.
#[test]
fn many_hosts_share_the_asking() {
    check(9, &expect!["72"]);
    check(30, &expect!["120"]);
    check(76, &expect!["304"]);
}
