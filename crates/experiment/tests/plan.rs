//! Tests the plan solver on cases that can be computed by hand.

use experiment::{Choice, Plan, Problem};
use googletest::prelude::*;

/// A sharpness that separates good responses from bad ones almost perfectly.
const SHARP: f64 = 400.0;

/// The sharpness of an uninformative confidence, with the same distribution for good and bad
/// responses.
const UNINFORMATIVE: f64 = 1.0;

fn check(depth: usize, choices: &[(f64, f64, f64)], target: f64, cost: f64, good: f64) {
    let choices = choices
        .iter()
        .map(|(cost, good, sharpness)| Choice::new(*cost, [*good, *good], *sharpness));
    let problem = Problem {
        hard: 0.0,
        depth,
        following_turns: 0.0,
        choices: choices.collect(),
    };
    let plan = Plan::solve(&problem, target);
    expect_that!(plan.cost, near(cost, cost * 1.0e-3));
    expect_that!(plan.good, near(good, 1.0e-3));
}

#[gtest]
fn a_cheap_version_that_meets_the_target_is_used_alone() {
    check(
        2,
        &[(1.0, 0.95, UNINFORMATIVE), (10.0, 0.99, UNINFORMATIVE)],
        0.9,
        1.0,
        0.95,
    );
}

#[gtest]
fn at_depth_one_two_versions_are_mixed_to_meet_the_target() {
    // Half of the requests have cost 1 and quality 0.8, half cost 10 and quality 1.0: the mean
    // quality is 0.9.
    check(
        1,
        &[(1.0, 0.8, UNINFORMATIVE), (10.0, 1.0, UNINFORMATIVE)],
        0.9,
        5.5,
        0.9,
    );
}

#[gtest]
fn with_a_sharp_confidence_only_failures_reach_the_expensive_version() {
    // All requests cost 1. Half of the 0.2 that fail cost 10 more.
    check(2, &[(1.0, 0.8, SHARP), (10.0, 1.0, SHARP)], 0.9, 2.0, 0.9);
}

#[gtest]
fn a_first_step_that_costs_more_than_it_saves_is_left_out() {
    // Trying the first version costs 9 and saves 10 for only one request in ten.
    check(2, &[(9.0, 0.1, SHARP), (10.0, 1.0, SHARP)], 1.0, 10.0, 1.0);
}

#[gtest]
fn an_unreachable_target_gives_the_highest_quality() {
    check(
        1,
        &[(1.0, 0.5, UNINFORMATIVE), (10.0, 0.8, UNINFORMATIVE)],
        0.9,
        10.0,
        0.8,
    );
}

#[gtest]
fn a_second_version_does_not_help_when_hard_requests_fail_at_every_version() {
    // Both versions fail at all hard requests, so a second version doesn't help.
    let same = |cost| Choice::new(cost, [1.0, 0.0], SHARP);
    let problem = Problem {
        hard: 0.2,
        depth: 2,
        following_turns: 0.0,
        choices: vec![same(1.0), same(10.0)],
    };
    let plan = Plan::solve(&problem, 0.9);
    expect_that!(plan.good, near(0.8, 1.0e-3));
}

#[gtest]
fn following_turns_of_a_session_use_the_delivered_version() {
    // The cheap version is tried first and its response is good in half of the sessions. These cost
    // 1 per turn, the others 1 + 10 in the first turn and 10 in the two following ones. In the
    // first turn all responses are good; in the following turns half of the cheap version's and
    // all of the expensive one's.
    let choices = vec![
        Choice::new(1.0, [0.5, 0.5], SHARP),
        Choice::new(10.0, [1.0, 1.0], SHARP),
    ];
    let problem = Problem {
        hard: 0.0,
        depth: 2,
        following_turns: 2.0,
        choices,
    };
    let target = (0.5 * (1.0 + 2.0 * 0.5) + 0.5 * 3.0) / 3.0;
    let plan = Plan::solve(&problem, target);
    expect_that!(plan.cost, near((0.5 * 3.0 + 0.5 * 31.0) / 3.0, 1.0e-2));
    expect_that!(plan.good, near(target, 1.0e-3));
}
