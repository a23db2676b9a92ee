//! The status, title, `run` value and retry delay of each refusal reason.

use std::fmt::Write;
use std::time::Duration;

use expect_test::expect;
use gate::problem::{Problem, Reason, Run};

#[test]
fn each_reason_has_status_run_retry_delay_and_title() {
    let mut table = String::new();
    for reason in Reason::ALL {
        let problem = Problem::not_run(reason, "");
        writeln!(
            table,
            "{reason} {} {:?} {:?} {}",
            problem.status, problem.run, problem.retry_after_ms, problem.title
        )
        .unwrap();
    }
    expect![[r"
        bad_request 400 NotRun None The request can't be read
        unauthorized 401 NotRun None The key is missing or unknown
        not_found 404 NotRun None There is nothing at this path
        unknown_profile 404 NotRun None The profile is unknown
        unknown_service 404 NotRun None The service is unknown
        not_allowed 403 NotRun None The customer may not use this
        too_large 413 NotRun None The request is too large
        rate_limited 429 NotRun Some(1000) The customer sends too fast
        concurrency_limited 429 NotRun Some(1000) The customer has too many requests open
        overloaded 503 NotRun Some(1000) The endpoints are full
        deadline 504 NotRun None The deadline can't be met
        no_version 503 NotRun Some(1000) No allowed version is in service
        no_endpoint 503 NotRun Some(1000) No endpoint can take the request
        cost_cap 422 NotRun None No allowed version fits the cost limit
        stale 503 NotRun Some(1000) The configuration may be out of date
        not_ready 503 NotRun Some(1000) This host is not ready
        leaving 503 NotRun Some(100) This host is leaving
        store_out 503 NotRun Some(1000) The store does not answer
        in_progress 409 Unknown Some(1000) The same request is running
        holder_gone 409 Unknown None The outcome of the request is lost
        key_reused 422 NotRun None The idempotency key was used for another request
        upstream_failed 502 NotRun None The endpoints failed
        answer_cut 502 Unknown None The answer broke off
        conflict 409 NotRun None The entry was changed by someone else
    "]]
    .assert_eq(&table);
}

#[test]
fn all_reasons_are_distinct_and_display_matches_json() {
    for (idx, reason) in Reason::ALL.iter().enumerate() {
        assert_eq!(Reason::ALL.iter().position(|it| it == reason), Some(idx));
        let json = serde_json::to_string(reason).unwrap();
        assert_eq!(json, format!("\"{reason}\""), "text and JSON agree");
    }
}

#[test]
fn problem_round_trips_and_rounds_retry_after_up() {
    let problem = Problem::new(Reason::Overloaded, Run::NotRun, "no slot is free")
        .retry_after(Some(Duration::from_millis(1200)))
        .of_request("r-1");
    assert_eq!(problem.retry_after_seconds(), Some(2));
    let json = problem.to_json();
    expect![[r#"{"type":"urn:barleypin:problem:overloaded","title":"The endpoints are full","status":503,"detail":"no slot is free","reason":"overloaded","run":"not_run","retry_after_ms":1200,"request":"r-1"}"#]].assert_eq(&json);
    assert_eq!(serde_json::from_str::<Problem>(&json).unwrap(), problem);
}
