//! Invariants of every request under the decision core.

use experiment::{Options, RouterKind, Scenario, Seeds, Workload, case};
use googletest::prelude::*;

/// Runs a scenario in quick mode with both workloads. Checks that each request ends, that no
/// request runs more than once unless it is idempotent, that a withdrawn version gets no requests,
/// and that only the responses of known, finished attempts are delivered.
fn check(scenario: &str) {
    let scenario = Scenario::shipped(scenario).expect("a shipped scenario");
    let options = Options {
        seeds: Seeds::One(7),
        quick: true,
        ..Options::default()
    };
    for workload in Workload::ALL {
        let case = case(&options, workload, &scenario);
        let core = case
            .figures_for(RouterKind::Core)
            .expect("every router is run");
        expect_that!(core.unfinished, eq(0), "{workload}");
        expect_that!(core.reruns, eq(0), "{workload}");
        expect_that!(core.sent_to_withdrawn, eq(0), "{workload}");
        let bad_delivery = core.refusals.keys().find(|it| it.starts_with("delivered_"));
        expect_that!(bad_delivery, none(), "{workload}");
    }
}

/// Guards against a request that never ends because the decider doesn't recognize the ID of the
/// attempt that ended.
#[gtest]
fn every_request_ends_without_faults() {
    check("calm");
}

/// Guards against retrying a request that isn't idempotent after its engine failed and may have
/// run it.
#[gtest]
fn requests_that_are_not_idempotent_run_at_most_once_when_a_version_fails() {
    check("errors");
}

/// Guards against sending a retry or a waiting request to a version that was withdrawn after it
/// was chosen.
#[gtest]
fn a_withdrawn_version_gets_no_requests() {
    check("withdrawn");
}

/// Guards against requests that never end when half of the replicas go down, which aborts their
/// attempts, and demand exceeds the remaining capacity.
#[gtest]
fn every_request_ends_when_half_of_the_replicas_are_down() {
    check("pool_runs_out");
}

/// Guards against a replaced host mistaking attempts of its previous incarnation for its own ones
/// with the same numbers.
#[gtest]
fn every_request_ends_when_hosts_are_lost_or_replaced() {
    check("host_lost");
}
