//! What the callers were told, set against the stand-ins' records.

use std::time::Duration;

use fakes::{Execution, ExecutionState, ServiceExecution};
use gate::problem::{self, Reason};
use googletest::prelude::*;
use serde_json::json;
use xtask::caller::{Answer, Call, End, Refusal, Try, read};
use xtask::reconcile::{Allowed, Bill, Evidence, Sessions, Tally, Withdrawal};
use xtask::workload::{Kind, Plan};

/// Counts one call against the evidence; the checked field is the closure's.
fn check<T: PartialEq + std::fmt::Debug>(
    call: Call,
    evidence: &Evidence,
    field: impl Fn(&Tally) -> T,
    expect: &T,
) {
    let tally = Tally::count(&[call], evidence);
    assert_that!(field(&tally), eq(expect));
}

#[test]
fn a_whole_own_answer_is_answered() {
    let call = call(Kind::EraTag, [answered(&whole("c1.0"))]);
    check(call, &evidence(), |it| (it.answered, it.lost), &(1, 0));
}

#[test]
fn anothers_answer_is_lost() {
    let call = call(Kind::EraTag, [answered(&whole("c2.0"))]);
    check(call, &evidence(), |it| (it.answered, it.lost), &(0, 1));
}

#[test]
fn a_spliced_answer_is_lost() {
    // A restorer reads a plan that starts with one attempt's words and ends with
    // another's: the host went on with a second attempt after the first was cut.
    let text = whole("c1.0").replace("[[end=7", "[[end=8");
    let call = call(Kind::EraTag, [answered(&text)]);
    check(call, &evidence(), |it| it.lost, &1);
}

#[test]
fn an_answer_with_a_missing_word_is_lost() {
    let call = call(Kind::EraTag, [answered(&whole("c1.0").replace(" w1", ""))]);
    check(call, &evidence(), |it| it.lost, &1);
}

#[test]
fn a_failure_is_repaired_by_the_answer_to_a_repeat() {
    let tries = [End::Failed("closed".to_owned()), answered(&whole("c1.0"))];
    let call = call(Kind::EraTag, tries);
    check(call, &evidence(), |it| (it.answered, it.lost), &(1, 0));
}

#[test]
fn a_failure_at_the_end_is_lost() {
    let call = call(Kind::EraTag, [End::Failed("closed".to_owned())]);
    check(call, &evidence(), |it| it.lost, &1);
}

#[test]
fn not_run_of_a_request_on_record_is_false() {
    // A family is told that the booking was not made, books again, and pays twice:
    // the host called a request "not run" that the ticketing application had run.
    let call = call(Kind::Booking, [refused("r1", problem::Run::NotRun)]);
    check(call.clone(), &ran(1), |it| it.not_run_but_ran, &1);
    check(call, &evidence(), |it| it.not_run_but_ran, &0);
}

#[test]
fn not_run_without_a_request_is_false_when_the_call_is_on_record() {
    let call = call(Kind::Booking, [refused("", problem::Run::NotRun)]);
    check(call, &ran(1), |it| it.not_run_but_ran, &1);
}

#[test]
fn not_run_is_true_when_another_try_ran() {
    let tries = [refused("r0", problem::Run::NotRun), answered("c1.0")];
    let call = call(Kind::Booking, tries);
    check(call, &ran(1), |it| it.not_run_but_ran, &0);
}

#[test]
fn unknown_is_never_false() {
    let call = call(Kind::Booking, [refused("r1", problem::Run::Unknown)]);
    check(call, &ran(1), |it| it.not_run_but_ran, &0);
}

#[test]
fn two_runs_double_only_what_runs_once() {
    let tries = [answered("c1.0")];
    check(
        call(Kind::Booking, tries.clone()),
        &ran(2),
        |it| it.doubled,
        &1,
    );
    check(call(Kind::GateScan, tries), &ran(2), |it| it.doubled, &0);
}

#[test]
fn a_catalogue_entry_counts_executions_of_engines() {
    let call = call(Kind::CatalogueEntry, [answered(&whole("c1.0"))]);
    let twice = executed(&["small@1", "small@1"]);
    check(call, &twice, |it| it.doubled, &1);
}

#[test]
fn two_records_bill_twice() {
    let call = call(Kind::EraTag, [answered(&whole("c1.0"))]);
    let row = json!({"records": [
        {"key": {"customer": "kivuli-bench", "home": 1, "key": "c1.0"}, "charge": {"money": 3}},
        {"key": {"customer": "kivuli-bench", "home": 1, "key": "c1.0~ab"}, "charge": {"money": 3}},
        {"key": {"customer": "kivuli-bench", "home": 1, "key": "c2.0"}, "charge": {"money": 3}},
    ]});
    let mut evidence = evidence();
    evidence.bills = Bill::within(&row);
    check(call, &evidence, |it| it.billed_twice, &1);
}

#[test]
fn records_are_found_in_a_row_whose_value_is_text() {
    let record = json!({"key": {"customer": "a", "key": "k"}, "charge": {"money": 4}});
    let row = json!(json!([record]).to_string());
    let expect = Bill {
        customer: "a".to_owned(),
        key: "k".to_owned(),
        microcents: 4,
    };
    assert_that!(Bill::within(&row), elements_are![eq(&expect)]);
}

#[test]
fn a_version_outside_the_profile_is_disallowed() {
    let call = call(Kind::EraTag, [answered(&whole("c1.0"))]);
    let evidence = executed(&["small@1", "strong@1"]);
    check(call, &evidence, |it| it.disallowed, &1);
}

#[test]
fn a_withdrawn_versions_last_start_counts() {
    let call = call(Kind::EraTag, [answered(&whole("c1.0"))]);
    let mut evidence = executed(&["small@1", "small@1"]);
    evidence.executions[0].started_ms = 900;
    evidence.executions[1].started_ms = 2500;
    evidence.withdrawal = Some(Withdrawal {
        version: "small@1".to_owned(),
        accepted_ms: 1000,
    });
    check(call, &evidence, |it| it.withdrawn_after_s, &1.5);
}

#[test]
fn a_conversation_that_changes_version_was_told_so_or_not() {
    let turn = |turn: u32, version: &str, moved: bool| {
        let text = whole(&format!("c1.{turn}")).replace("small@1", version);
        let answer = Answer {
            text,
            moved,
            ..Answer::default()
        };
        let call = call(Kind::VisitorChat, [End::Answered(answer)]);
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
        moved: 1,
        switched: 1,
    };
    assert_that!(Sessions::count(&calls), eq(expect));
}

#[test]
fn times_are_those_of_the_answered_calls() {
    let call = call(Kind::EraTag, [answered(&whole("c1.0"))]);
    check(
        call,
        &evidence(),
        |it| (it.p50_ms.round(), it.p99_ms.round()),
        &(5.0, 5.0),
    );
}

#[test]
fn a_stream_is_answered_only_by_its_end_mark() {
    let chunk = r#"data: {"choices":[{"delta":{"content":"a"}}]}"#;
    let last =
        r#"data: {"choices":[{"delta":{}}],"barleypin":{"version":"v@1","cost_microcents":5}}"#;
    let stream = format!("{chunk}\n\n{last}\n\n");
    let cut = read(stream.as_bytes(), Answer::default());
    assert_that!(cut, matches_pattern!(End::Failed(anything())));
    let whole = read(
        format!("{stream}data: [DONE]\n\n").as_bytes(),
        Answer::default(),
    );
    let expect = Answer {
        version: "v@1".to_owned(),
        cost_microcents: Some(5),
        text: "a".to_owned(),
        ..Answer::default()
    };
    assert_that!(whole, eq(&End::Answered(expect)));
}

#[test]
fn a_plan_is_the_same_for_its_seed_and_has_every_kind() {
    let plan = Plan::draw(7, 50.0, Duration::from_secs(20));
    assert_that!(plan, eq(&Plan::draw(7, 50.0, Duration::from_secs(20))));
    for kind in Kind::ALL {
        assert_that!(plan.items.iter().any(|it| it.kind == kind), eq(true));
    }
}

fn call<const N: usize>(kind: Kind, ends: [End; N]) -> Call {
    let host = ([127, 0, 0, 1], 1).into();
    Call {
        name: "c1.0".to_owned(),
        kind,
        customer: "kivuli-bench",
        tries: ends.into_iter().map(|end| Try { host, end }).collect(),
        took: Duration::from_millis(5),
    }
}

fn answered(text: &str) -> End {
    End::Answered(Answer {
        text: text.to_owned(),
        ..Answer::default()
    })
}

fn refused(request: &str, run: problem::Run) -> End {
    End::Refused(Refusal {
        request: request.to_owned(),
        reason: Reason::Overloaded,
        run,
        retry_after: None,
    })
}

fn whole(call: &str) -> String {
    format!("[[request=r1 attempt=7 version=small@1 call={call} good=1]] w1 w2 [[end=7 words=2]]")
}

fn evidence() -> Evidence {
    let mut allowed = Allowed::default();
    allowed.insert("kivuli-bench", "kivuli-era", &["small@1"]);
    allowed.insert("kivuli-bench", "kivuli-catalogue", &["small@1"]);
    Evidence {
        allowed,
        ..Evidence::default()
    }
}

fn ran(times: usize) -> Evidence {
    let run = ServiceExecution {
        request: "r1".to_owned(),
        attempt: "7".to_owned(),
        call: "c1.0".to_owned(),
        method: "POST".to_owned(),
        path: "/bookings".to_owned(),
        started_ms: 0,
        answered: true,
    };
    Evidence {
        runs: vec![run; times],
        ..evidence()
    }
}

fn executed(versions: &[&str]) -> Evidence {
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
    Evidence {
        executions: versions.iter().map(execution).collect(),
        ..evidence()
    }
}
