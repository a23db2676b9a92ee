//! Tests the plan solver on cases that can be computed by hand.

use experiment::{Choice, Plan, Problem};
use googletest::prelude::*;

/// A sharpness that separates good responses from bad ones almost perfectly.
const SURE: f64 = 400.0;

/// The sharpness of an uninformative confidence, with the same distribution for good and bad
/// responses.
const BLIND: f64 = 1.0;

fn check(depth: usize, choices: &[(f64, f64, f64)], target: f64, cost: f64, good: f64) {
    let choices = choices
        .iter()
        .map(|(cost, good, sharpness)| Choice::new(*cost, [*good, *good], *sharpness));
    let problem = Problem {
        hard: 0.0,
        depth,
        follow: 0.0,
        choices: choices.collect(),
    };
    let plan = Plan::solve(&problem, target);
    expect_that!(plan.cost, near(cost, cost * 1.0e-3));
    expect_that!(plan.good, near(good, 1.0e-3));
}

#[gtest]
fn a_cheap_version_that_is_good_enough_is_asked_alone() {
    check(
        2,
        &[(1.0, 0.95, BLIND), (10.0, 0.99, BLIND)],
        0.9,
        1.0,
        0.95,
    );
}

#[gtest]
fn without_a_cascade_two_versions_are_mixed_to_the_target() {
    // Half of the requests have cost 1 and quality 0.8, half cost 10 and quality 1.0: the mean
    // quality is 0.9.
    check(1, &[(1.0, 0.8, BLIND), (10.0, 1.0, BLIND)], 0.9, 5.5, 0.9);
}

#[gtest]
fn a_sure_confidence_pays_the_dear_version_for_the_failures_only() {
    // All requests cost 1. Half of the 0.2 that fail cost 10 more.
    check(2, &[(1.0, 0.8, SURE), (10.0, 1.0, SURE)], 0.9, 2.0, 0.9);
}

#[gtest]
fn the_cheap_step_is_left_out_where_it_does_not_pay() {
    // Trying the first version costs 9 and saves 10 for only one request in ten.
    check(2, &[(9.0, 0.1, SURE), (10.0, 1.0, SURE)], 1.0, 10.0, 1.0);
}

#[gtest]
fn out_of_reach_of_the_target_the_most_good_answers_are_given() {
    check(1, &[(1.0, 0.5, BLIND), (10.0, 0.8, BLIND)], 0.9, 10.0, 0.8);
}

#[gtest]
fn what_a_version_fails_at_may_be_hard_for_the_next() {
    // Both versions fail at all hard requests, so a second version doesn't help.
    let same = |cost| Choice::new(cost, [1.0, 0.0], SURE);
    let problem = Problem {
        hard: 0.2,
        depth: 2,
        follow: 0.0,
        choices: vec![same(1.0), same(10.0)],
    };
    let plan = Plan::solve(&problem, 0.9);
    expect_that!(plan.good, near(0.8, 1.0e-3));
}

#[gtest]
fn a_session_pays_the_first_answers_version_for_the_turns_that_follow() {
    // The cheap version is tried first and its response is good in half of the sessions. These cost
    // 1 per turn, the others 1 + 10 in the first turn and 10 in the two following ones. In the
    // first turn all responses are good; in the following turns half of the cheap version's and
    // all of the expensive one's.
    let choices = vec![
        Choice::new(1.0, [0.5, 0.5], SURE),
        Choice::new(10.0, [1.0, 1.0], SURE),
    ];
    let problem = Problem {
        hard: 0.0,
        depth: 2,
        follow: 2.0,
        choices,
    };
    let target = (0.5 * (1.0 + 2.0 * 0.5) + 0.5 * 3.0) / 3.0;
    let plan = Plan::solve(&problem, target);
    expect_that!(plan.cost, near((0.5 * 3.0 + 0.5 * 31.0) / 3.0, 1.0e-2));
    expect_that!(plan.good, near(target, 1.0e-3));
}
