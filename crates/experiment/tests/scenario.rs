//! Tests the scenario language.

use experiment::{Error, Scenario};
use googletest::prelude::*;

fn check(line: &str, detail: &str) {
    let text = format!("scenario\nduration 1m\n{line}\n----\n");
    let error = Scenario::parse("test", &text).expect_err("the line is invalid");
    expect_that!(
        error,
        matches_pattern!(Error::Scenario { line: eq(&3), .. })
    );
    expect_that!(error.to_string(), contains_substring(detail));
}

#[gtest]
fn an_invalid_line_is_reported_with_the_accepted_syntax() {
    check("on 5m ratings out", "`about`, `duration`, `at`");
    check(
        "at 5 ratings out",
        "a whole number and `ms`, `s`, `m` or `h`",
    );
    check("at 5m ratings lost", "`ratings out`");
    check(
        "at 5m version huge@1 withdrawn",
        "small@1, medium@3, medium@4, large@2",
    );
    check("at 5m version small@1 bad 120%", "`0%` to `100%`");
    check("at 5m models demand 4", "`x` and a number above 0");
    check("at 5m host first lost", "a whole number (0 or more)");
}

#[gtest]
fn every_shipped_scenario_parses() {
    for name in Scenario::names() {
        let scenario = Scenario::shipped(name);
        expect_that!(scenario, ok(anything()), "{name}");
    }
}

#[gtest]
fn an_unknown_scenario_name_lists_the_known_ones() {
    let error = Scenario::shipped("calmer").expect_err("no scenario has this name");
    expect_that!(
        error.to_string(),
        contains_substring("calm, settled, turns_bad")
    );
}
