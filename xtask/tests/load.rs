//! Tests of the parts of the load task that need no processes.

use std::time::Duration;

use googletest::prelude::*;
use xtask::load::{ConstantRate, Usage};

#[test]
fn starts_are_evenly_spaced() {
    let starts: Vec<_> = ConstantRate::new(4, Duration::from_millis(1500)).collect();
    let expect = [0, 250, 500, 750, 1000, 1250].map(Duration::from_millis);
    assert_that!(starts, eq(&expect.to_vec()));
}

#[test]
fn usage_is_parsed_if_the_program_name_contains_a_parenthesis() {
    let stat = "42 (a b) c) S 1 42 42 0 -1 4194560 1 0 0 0 150 50 0 0 20 0 5 0 1 1 1";
    let status = "Name:\tx\nVmHWM:\t   2048 kB\nVmRSS:\t 1024 kB\n";
    let expect = Usage {
        cpu: Duration::from_secs(2),
        peak_kib: 2048,
    };
    assert_that!(Usage::parse(stat, status), eq(Some(expect)));
}
