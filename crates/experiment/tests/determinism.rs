//! The same seed gives the same report, byte for byte.

use experiment::{Options, Seeds, Workload, run};
use googletest::prelude::*;

fn quick_report(seed: u64, scenario: &str) -> String {
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
fn the_same_seed_gives_the_same_report() {
    let first = quick_report(7, "turns_bad");
    let second = quick_report(7, "turns_bad");
    expect_true!(first == second);
}

#[gtest]
fn different_seeds_give_different_reports() {
    expect_true!(quick_report(7, "calm") != quick_report(8, "calm"));
}
