//! Tests of the comparison of responses to callers with the stand-ins' records.

use std::time::Duration;

use fakes::{Execution, ExecutionState, ServiceExecution};
use gate::problem::{self, Reason};
use googletest::prelude::*;
use serde_json::json;
use xtask::caller::{Call, CallResponse, Outcome, Refusal, Try, parse_stream};
use xtask::reconcile::{AllowedVersions, BillingRecord, Sessions, SiteRecords, Tally, Withdrawal};
use xtask::workload::{Kind, Schedule};

/// Checks the value that `field` selects from the tally of one call.
fn check<T: PartialEq + std::fmt::Debug>(
    call: Call,
    site_records: &SiteRecords,
    field: impl Fn(&Tally) -> T,
    expect: &T,
) {
    let tally = Tally::count(&[call], site_records);
    assert_that!(field(&tally), eq(expect));
}

#[test]
fn a_complete_response_to_the_call_counts_as_answered() {
    let call = call(Kind::EraTag, [answered(&complete_text("c1.0"))]);
    check(
        call,
        &without_executions(),
        |it| (it.answered, it.lost),
        &(1, 0),
    );
}

#[test]
fn a_response_to_another_call_counts_as_lost() {
    let call = call(Kind::EraTag, [answered(&complete_text("c2.0"))]);
    check(
        call,
        &without_executions(),
        |it| (it.answered, it.lost),
        &(0, 1),
    );
}

#[test]
fn a_response_mixed_from_two_attempts_counts_as_lost() {
    // A host that continues an interrupted response with a second attempt mixes the output of
    // two attempts.
    let text = complete_text("c1.0").replace("[[end=7", "[[end=8");
    let call = call(Kind::EraTag, [answered(&text)]);
    check(call, &without_executions(), |it| it.lost, &1);
}

#[test]
fn a_response_with_a_missing_word_counts_as_lost() {
    let call = call(
        Kind::EraTag,
        [answered(&complete_text("c1.0").replace(" w1", ""))],
    );
    check(call, &without_executions(), |it| it.lost, &1);
}

#[test]
fn a_call_that_succeeds_in_a_retry_counts_as_answered() {
    let tries = [
        Outcome::Failed("closed".to_owned()),
        answered(&complete_text("c1.0")),
    ];
    let call = call(Kind::EraTag, tries);
    check(
        call,
        &without_executions(),
        |it| (it.answered, it.lost),
        &(1, 0),
    );
}

#[test]
fn a_call_whose_last_try_failed_counts_as_lost() {
    let call = call(Kind::EraTag, [Outcome::Failed("closed".to_owned())]);
    check(call, &without_executions(), |it| it.lost, &1);
}

#[test]
fn a_not_run_refusal_of_an_executed_request_is_counted() {
    // A caller who gets "not run" for a booking that was executed books again and pays twice.
    let call = call(Kind::Booking, [refused("r1", problem::Run::NotRun)]);
    check(
        call.clone(),
        &with_service_executions(1),
        |it| it.not_run_but_ran,
        &1,
    );
    check(call, &without_executions(), |it| it.not_run_but_ran, &0);
}

#[test]
fn a_not_run_refusal_without_a_request_id_is_counted_if_the_call_was_executed() {
    let call = call(Kind::Booking, [refused("", problem::Run::NotRun)]);
    check(
        call,
        &with_service_executions(1),
        |it| it.not_run_but_ran,
        &1,
    );
}

#[test]
fn a_not_run_refusal_is_not_counted_if_only_another_try_was_executed() {
    let tries = [refused("r0", problem::Run::NotRun), answered("c1.0")];
    let call = call(Kind::Booking, tries);
    check(
        call,
        &with_service_executions(1),
        |it| it.not_run_but_ran,
        &0,
    );
}

#[test]
fn an_unknown_refusal_is_not_counted() {
    let call = call(Kind::Booking, [refused("r1", problem::Run::Unknown)]);
    check(
        call,
        &with_service_executions(1),
        |it| it.not_run_but_ran,
        &0,
    );
}

#[test]
fn two_executions_count_as_doubled_only_for_at_most_once_calls() {
    let tries = [answered("c1.0")];
    check(
        call(Kind::Booking, tries.clone()),
        &with_service_executions(2),
        |it| it.doubled,
        &1,
    );
    check(
        call(Kind::GateScan, tries),
        &with_service_executions(2),
        |it| it.doubled,
        &0,
    );
}

#[test]
fn two_executions_on_engines_count_as_doubled() {
    let call = call(Kind::CatalogueEntry, [answered(&complete_text("c1.0"))]);
    let twice = with_executions(&["small@1", "small@1"]);
    check(call, &twice, |it| it.doubled, &1);
}

#[test]
fn two_billing_records_of_a_call_count_as_billed_twice() {
    let call = call(Kind::EraTag, [answered(&complete_text("c1.0"))]);
    let row = json!({"records": [
        {"key": {"customer": "kivuli-bench", "home": 1, "key": "c1.0"}, "charge": {"money": 3}},
        {"key": {"customer": "kivuli-bench", "home": 1, "key": "c1.0~ab"}, "charge": {"money": 3}},
        {"key": {"customer": "kivuli-bench", "home": 1, "key": "c2.0"}, "charge": {"money": 3}},
    ]});
    let mut site_records = without_executions();
    site_records.billing_records = BillingRecord::find_in(&row);
    check(call, &site_records, |it| it.billed_twice, &1);
}

#[test]
fn billing_records_are_found_in_a_row_whose_value_is_text() {
    let record = json!({"key": {"customer": "a", "key": "k"}, "charge": {"money": 4}});
    let row = json!(json!([record]).to_string());
    let expect = BillingRecord {
        customer: "a".to_owned(),
        key: "k".to_owned(),
        microcents: 4,
    };
    assert_that!(BillingRecord::find_in(&row), elements_are![eq(&expect)]);
}

#[test]
fn a_version_outside_the_profile_is_disallowed() {
    let call = call(Kind::EraTag, [answered(&complete_text("c1.0"))]);
    let site_records = with_executions(&["small@1", "strong@1"]);
    check(call, &site_records, |it| it.disallowed, &1);
}

#[test]
fn withdrawn_after_s_is_the_time_to_the_last_start_on_the_version() {
    let call = call(Kind::EraTag, [answered(&complete_text("c1.0"))]);
    let mut site_records = with_executions(&["small@1", "small@1"]);
    site_records.executions[0].started_ms = 900;
    site_records.executions[1].started_ms = 2500;
    site_records.withdrawal = Some(Withdrawal {
        version: "small@1".to_owned(),
        accepted_ms: 1000,
    });
    check(call, &site_records, |it| it.withdrawn_after_s, &1.5);
}

#[test]
fn reported_and_unreported_changes_of_version_are_counted() {
    let turn = |turn: u32, version: &str, moved: bool| {
        let text = complete_text(&format!("c1.{turn}")).replace("small@1", version);
        let response = CallResponse {
            text,
            moved,
            ..CallResponse::default()
        };
        let call = call(Kind::VisitorChat, [Outcome::Completed(response)]);
        Call {
            name: format!("c1.{turn}"),
            ..call
        }
    };
    let calls = [
        turn(0, "small@1", false),
        turn(1, "small@1", false),
        turn(2, "mid@1", true),
        turn(3, "strong@1", false),
    ];
    let expect = Sessions {
        conversations: 1,
        reported_moves: 1,
        unreported_moves: 1,
    };
    assert_that!(Sessions::count(&calls), eq(expect));
}

#[test]
fn percentiles_of_one_answered_call_are_its_duration() {
    let call = call(Kind::EraTag, [answered(&complete_text("c1.0"))]);
    check(
        call,
        &without_executions(),
        |it| (it.p50_ms.round(), it.p99_ms.round()),
        &(5.0, 5.0),
    );
}

#[test]
fn a_stream_is_complete_only_with_the_done_event() {
    let chunk = r#"data: {"choices":[{"delta":{"content":"a"}}]}"#;
    let last =
        r#"data: {"choices":[{"delta":{}}],"barleypin":{"version":"v@1","cost_microcents":5}}"#;
    let stream = format!("{chunk}\n\n{last}\n\n");
    let cut = parse_stream(stream.as_bytes(), CallResponse::default());
    assert_that!(cut, matches_pattern!(Outcome::Failed(anything())));
    let complete = parse_stream(
        format!("{stream}data: [DONE]\n\n").as_bytes(),
        CallResponse::default(),
    );
    let expect = CallResponse {
        version: "v@1".to_owned(),
        cost_microcents: Some(5),
        text: "a".to_owned(),
        ..CallResponse::default()
    };
    assert_that!(complete, eq(&Outcome::Completed(expect)));
}

#[test]
fn a_schedule_is_deterministic_and_has_every_kind() {
    let schedule = Schedule::generate(7, 50.0, Duration::from_secs(20));
    assert_that!(
        schedule,
        eq(&Schedule::generate(7, 50.0, Duration::from_secs(20)))
    );
    for kind in Kind::ALL {
        assert_that!(schedule.items.iter().any(|it| it.kind == kind), eq(true));
    }
}

fn call<const N: usize>(kind: Kind, outcomes: [Outcome; N]) -> Call {
    let host = ([127, 0, 0, 1], 1).into();
    Call {
        name: "c1.0".to_owned(),
        kind,
        customer: "kivuli-bench",
        tries: outcomes
            .into_iter()
            .map(|outcome| Try { host, outcome })
            .collect(),
        duration: Duration::from_millis(5),
    }
}

fn answered(text: &str) -> Outcome {
    Outcome::Completed(CallResponse {
        text: text.to_owned(),
        ..CallResponse::default()
    })
}

fn refused(request: &str, run: problem::Run) -> Outcome {
    Outcome::Refused(Refusal {
        request: request.to_owned(),
        reason: Reason::Overloaded,
        run,
        retry_after: None,
    })
}

fn complete_text(call: &str) -> String {
    format!("[[request=r1 attempt=7 version=small@1 call={call} good=1]] w1 w2 [[end=7 words=2]]")
}

fn without_executions() -> SiteRecords {
    let mut allowed = AllowedVersions::default();
    allowed.insert("kivuli-bench", "kivuli-era", &["small@1"]);
    allowed.insert("kivuli-bench", "kivuli-catalogue", &["small@1"]);
    SiteRecords {
        allowed,
        ..SiteRecords::default()
    }
}

fn with_service_executions(times: usize) -> SiteRecords {
    let run = ServiceExecution {
        request: "r1".to_owned(),
        attempt: "7".to_owned(),
        call: "c1.0".to_owned(),
        method: "POST".to_owned(),
        path: "/bookings".to_owned(),
        started_ms: 0,
        answered: true,
    };
    SiteRecords {
        service_executions: vec![run; times],
        ..without_executions()
    }
}

fn with_executions(versions: &[&str]) -> SiteRecords {
    let execution = |version: &&str| Execution {
        request: "r1".to_owned(),
        attempt: "7".to_owned(),
        call: "c1.0".to_owned(),
        version: (*version).to_owned(),
        class: "era".to_owned(),
        good: true,
        started_ms: 0,
        prompt_tokens: 1,
        cached_tokens: 0,
        completion_tokens: 1,
        cost_microcents: 1,
        end: ExecutionState::Complete,
    };
    SiteRecords {
        executions: versions.iter().map(execution).collect(),
        ..without_executions()
    }
}
