//! Parsing of the headers of calls and of operators' changes.

use expect_test::{Expect, expect};
use gate::call::{Headers, bearer};
use gate::operator::Condition;
use gate::problem::Problem;

fn check<T: std::fmt::Debug>(result: Result<T, Problem>, expect: &Expect) {
    let text = match result {
        Ok(value) => format!("{value:?}"),
        Err(problem) => format!("{} {}", problem.status, problem.detail),
    };
    expect.assert_eq(&text);
}

fn headers(name: &str, value: &str) -> Result<Headers, Problem> {
    Headers::parse(|header| (header == name).then_some(value))
}

fn condition(revision: &str, change: &str) -> Result<Condition, Problem> {
    Condition::parse(|header| match header {
        "if-match" => Some(revision),
        "barleypin-change" => Some(change),
        _ => None,
    })
}

#[test]
fn call_headers_are_parsed_or_rejected() {
    check(
        headers("", ""),
        &expect![
            "Headers { key: None, ticket: None, session: None, deadline: None, priority: None }"
        ],
    );
    check(
        headers("idempotency-key", "hold-7"),
        &expect![[
            r#"Headers { key: Some("hold-7"), ticket: None, session: None, deadline: None, priority: None }"#
        ]],
    );
    check(
        headers("idempotency-key", "a b"),
        &expect!["400 idempotency-key: expected 1 to 128 visible ASCII characters other than `/`"],
    );
    check(
        headers("idempotency-key", ""),
        &expect!["400 idempotency-key: expected 1 to 128 visible ASCII characters other than `/`"],
    );
    check(
        headers("barleypin-deadline-ms", "250"),
        &expect![
            "Headers { key: None, ticket: None, session: None, deadline: Some(250ms), priority: None }"
        ],
    );
    check(
        headers("barleypin-deadline-ms", "0"),
        &expect!["400 barleypin-deadline-ms: expected whole milliseconds from 1 to 3600000"],
    );
    check(
        headers("barleypin-deadline-ms", "soon"),
        &expect!["400 barleypin-deadline-ms: expected whole milliseconds from 1 to 3600000"],
    );
    check(
        headers("barleypin-priority", "urgent"),
        &expect![
            "Headers { key: None, ticket: None, session: None, deadline: None, priority: Some(Urgent) }"
        ],
    );
    check(
        headers("barleypin-priority", "high"),
        &expect!["400 barleypin-priority: expected `urgent`, `interactive` or `batch`"],
    );
}

#[test]
fn bearer_key_is_parsed_or_rejected() {
    check(bearer(Some("Bearer k1")), &expect![[r#""k1""#]]);
    check(bearer(Some("bearer  k1 ")), &expect![[r#""k1""#]]);
    check(
        bearer(Some("Basic k1")),
        &expect!["401 authorization: expected `Bearer <key>`"],
    );
    check(
        bearer(Some("Bearer ")),
        &expect!["401 authorization: expected `Bearer <key>`"],
    );
    check(
        bearer(None),
        &expect!["401 authorization: expected `Bearer <key>`"],
    );
}

#[test]
fn change_headers_are_parsed_or_rejected() {
    check(
        condition("12", "c-1"),
        &expect![[
            r#"Condition { read_at: Revision(12), change: ChangeId("c-1"), author: "", mode: Guarded }"#
        ]],
    );
    check(
        condition("\"12\"", "c-1"),
        &expect![[
            r#"Condition { read_at: Revision(12), change: ChangeId("c-1"), author: "", mode: Guarded }"#
        ]],
    );
    check(
        condition("latest", "c-1"),
        &expect!["400 if-match: expected the revision the entry was read at, 0 for a new one"],
    );
    check(
        condition("12", "a/b"),
        &expect![
            "400 barleypin-change: expected 1 to 128 of the characters a-z, A-Z, 0-9, `-`, `_` and `.`"
        ],
    );
}
