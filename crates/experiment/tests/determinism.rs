//! The same seed gives the same report, byte for byte.

use experiment::{Options, Seeds, Workload, run};
use googletest::prelude::*;

fn quick(seed: u64, scenario: &str) -> String {
    let options = Options {
        seeds: Seeds::One(seed),
        scenario: Some(scenario.to_owned()),
        workload: Some(Workload::Association),
        quick: true,
    };
    let report = run(&options).expect("a shipped scenario");
    report.table() + &serde_json::to_string(&report).expect("a report can be serialized")
}

#[gtest]
fn twice_the_same_seed_gives_the_same_bytes() {
    let first = quick(7, "turns_bad");
    let second = quick(7, "turns_bad");
    expect_true!(first == second);
}

#[gtest]
fn another_seed_gives_another_report() {
    expect_true!(quick(7, "calm") != quick(8, "calm"));
}
