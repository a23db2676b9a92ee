//! Queries of documents, and changes to documents that have faults.

use config::{ApplyError, Document, Route};
use config::{Change, ChangeMode, Edit, RetryPolicy, Service};
use googletest::prelude::*;
use kernel::{Customer, Revision};

const DOCUMENT: &str = r#"{
    "revision": 9,
    "versions": {
        "oak@1": {"prompt_microcents_per_million": 3, "completion_microcents_per_million": 2000000},
        "oak@2": {"state": "withdrawn", "prompt_microcents_per_million": 1, "completion_microcents_per_million": 1}
    },
    "profiles": {
        "dossier": {
            "allow": ["oak@1", "oak@2"], "quality": 0.9, "cost_cap_microcents": 9, "repeat": "idempotent",
            "customers": {"desk": {}, "portal": {"allow": ["oak@2"]}}
        }
    },
    "customers": {
        "desk": {"key_blake3": "KEY"}
    }
}"#;

fn document() -> Document {
    let key = config::Customer::hash(b"desk-key");
    Document::parse(&DOCUMENT.replace("KEY", &key)).expect("a valid document")
}

#[gtest]
fn usable_versions_are_active_and_allowed_to_the_customer() {
    let usable = |customer: &str| document().usable_versions(&"dossier".into(), &customer.into());
    expect_that!(usable("desk"), elements_are![eq(&"oak@1".into())]);
    expect_that!(usable("portal"), is_empty());
    expect_that!(usable("stranger"), is_empty());
}

#[gtest]
fn a_customer_is_identified_by_its_exact_key() {
    let document = document();
    expect_that!(
        document.customer_by_key(b"desk-key"),
        some(eq(&Customer::from("desk")))
    );
    expect_that!(document.customer_by_key(b"desk-key "), none());
}

#[gtest]
fn token_costs_round_up() {
    let document = document();
    let cost = document.versions["oak@1"].cost(1, 1);
    expect_that!(cost.0, eq(1 + 2));
}

#[gtest]
fn the_longest_prefix_of_whole_segments_then_the_method_selects_the_route() {
    let route = |method: &str, prefix: &str, retry_policy| Route {
        method: method.to_owned(),
        prefix: prefix.to_owned(),
        retry_policy,
        priority: config::Priority::Urgent,
    };
    let service = Service {
        first_byte: std::time::Duration::from_secs(1),
        total: std::time::Duration::from_secs(1),
        routes: vec![
            route("ANY", "/", RetryPolicy::AtMostOnce),
            route("ANY", "/holds", RetryPolicy::Idempotent),
            route("POST", "/holds", RetryPolicy::AtMostOnce),
        ],
        changed: Revision(1),
    };
    let retry_policy =
        |method: &str, path: &str| service.route(method, path).map(|it| it.retry_policy);
    expect_that!(
        retry_policy("GET", "/holds/7"),
        some(eq(RetryPolicy::Idempotent))
    );
    expect_that!(
        retry_policy("POST", "/holds"),
        some(eq(RetryPolicy::AtMostOnce))
    );
    expect_that!(
        retry_policy("GET", "/holdsall"),
        some(eq(RetryPolicy::AtMostOnce))
    );
    expect_that!(retry_policy("GET", "holds"), none());
}

/// A document accepted by an earlier release may have faults by the rules of a later
/// one. They must not block changes to other entries.
#[gtest]
fn an_existing_fault_rejects_only_changes_to_its_entry() {
    let document = document();
    expect_that!(document.faults().0, not(is_empty()));
    let service = Service {
        first_byte: std::time::Duration::from_secs(1),
        total: std::time::Duration::from_secs(1),
        routes: Vec::new(),
        changed: Revision(0),
    };
    let mut change = Change {
        id: "c1".into(),
        base: Revision(0),
        author: "salma".to_owned(),
        mode: ChangeMode::Guarded,
        edit: Edit::PutService("tickets".into(), service),
    };
    expect_that!(document.apply(&change), ok(anything()));
    change.edit = Edit::PutProfile("dossier".into(), document.profiles["dossier"].clone());
    expect_that!(
        document.apply(&change),
        err(matches_pattern!(ApplyError::Faults(_)))
    );
}
