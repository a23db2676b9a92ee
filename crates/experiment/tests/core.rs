//! What must hold for every request under the decision core, whatever it decides.

use experiment::{Kind, Options, Scenario, Seeds, Workload, case};
use googletest::prelude::*;

/// Runs a quick scenario of both workloads and checks that each request ends,
/// that none runs twice that may not, and that a withdrawn version gets no work.
fn check(scenario: &str) {
    let scenario = Scenario::shipped(scenario).expect("a shipped scenario");
    let options = Options {
        seeds: Seeds::One(7),
        quick: true,
        ..Options::default()
    };
    for workload in Workload::ALL {
        let case = case(&options, workload, &scenario);
        let core = case.of(Kind::Core).expect("the core is always run");
        expect_that!(core.unfinished, eq(0), "{workload}");
        expect_that!(core.reruns, eq(0), "{workload}");
        expect_that!(core.sent_to_withdrawn, eq(0), "{workload}");
        let broken = core.refusals.keys().find(|it| it.starts_with("delivered_"));
        expect_that!(broken, none(), "{workload}");
    }
}

/// A caller waits for ever: the end of its attempt never reached the decider,
/// since the driver had changed the attempt's number on the way.
#[gtest]
fn every_request_ends_in_calm() {
    check("calm");
}

/// A restorer's entry is written twice: its engine fails after it may have run
/// it, and the entry is sent again.
#[gtest]
fn nothing_runs_twice_that_may_not_when_a_version_fails() {
    check("errors");
}

/// Callers get answers of a version that operators have withdrawn: it was
/// chosen before, and a retry or a waiting request still goes there.
#[gtest]
fn a_withdrawn_version_gets_no_work() {
    check("withdrawn");
}

/// Requests hang when half of the replicas go: their attempts are cut while
/// more come than the rest can take.
#[gtest]
fn every_request_ends_when_the_pool_runs_out() {
    check("pool_runs_out");
}

/// A replaced host hears of attempts of the process before it, whose numbers
/// are the same as its own.
#[gtest]
fn every_request_ends_when_hosts_are_lost() {
    check("host_lost");
}
