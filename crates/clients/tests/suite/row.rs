//! Tests of formatting and parsing row keys.

use clients::row::{Key, Prefix};
use expect_test::{Expect, expect};
use kernel::{Incarnation, RequestKey, Revision};
use proptest::prelude::*;

fn check(key: &Key, expect: &Expect) {
    let text = key.to_string();
    expect.assert_eq(&text);
    assert_eq!(Key::parse(&text).as_ref(), Some(key));
}

fn request_key(customer: &str, key: &str) -> RequestKey {
    RequestKey {
        customer: customer.into(),
        home: Incarnation(7),
        key: key.into(),
    }
}

#[test]
fn keys_have_protocol_format() {
    check(&Key::ConfigHead, &expect!["config/head"]);
    check(
        &Key::ConfigChange("c1".into()),
        &expect!["config/change/c1"],
    );
    check(
        &Key::ConfigHistory(Revision(41)),
        &expect!["config/history/00000000000000000041"],
    );
    check(
        &Key::Claim(request_key("kivuli", "k1")),
        &expect!["claim/kivuli/7/k1"],
    );
    check(
        &Key::Bill {
            incarnation: Incarnation(7),
            sequence: 3,
        },
        &expect!["bill/7/00000000000000000003"],
    );
    check(
        &Key::BilledRequest {
            incarnation: Incarnation(7),
            key: request_key("kivuli", "k1"),
        },
        &expect!["bill/7/key/kivuli/7/k1"],
    );
    check(&Key::Fence(Incarnation(7)), &expect!["fence/7"]);
    check(&Key::Lease("rollouts".into()), &expect!["lease/rollouts"]);
    check(&Key::Rollout("small@2".into()), &expect!["rollout/small@2"]);
}

#[test]
fn unknown_and_malformed_keys_are_rejected() {
    for text in [
        "",
        "config",
        "config/tail",
        "bill/x/1",
        "claim/a/b/c",
        "lease/%",
    ] {
        assert_eq!(Key::parse(text), None, "{text}");
    }
}

#[test]
fn bills_prefix_ends_with_separator() {
    // Without the separator, the prefix would also match the rows of incarnation 10.
    assert_eq!(Prefix::BillsOf(Incarnation(1)).to_string(), "bill/1/");
}

/// Generates keys of all kinds except `ConfigHead` and `Fence`.
fn any_key() -> impl Strategy<Value = Key> {
    let text = || "[a-c/%é.]{0,6}";
    let request = (text(), any::<u64>(), text()).prop_map(|(customer, home, key)| RequestKey {
        customer: customer.into(),
        home: Incarnation(home),
        key: key.into(),
    });
    prop_oneof![
        text().prop_map(|it| Key::ConfigChange(it.into())),
        any::<u64>().prop_map(|it| Key::ConfigHistory(Revision(it))),
        request.clone().prop_map(Key::Claim),
        (any::<u64>(), any::<u64>()).prop_map(|(incarnation, sequence)| Key::Bill {
            incarnation: Incarnation(incarnation),
            sequence,
        }),
        (any::<u64>(), request).prop_map(|(incarnation, key)| Key::BilledRequest {
            incarnation: Incarnation(incarnation),
            key,
        }),
        text().prop_map(|it| Key::Lease(it.into())),
        text().prop_map(|it| Key::Rollout(it.into())),
    ]
}

proptest! {
    #[test]
    fn keys_round_trip(key in any_key()) {
        prop_assert_eq!(Key::parse(&key.to_string()), Some(key));
    }

    #[test]
    fn different_keys_have_different_text(one in any_key(), other in any_key()) {
        // If two requests shared a claim, one of them would never run.
        // Idempotency keys may contain slashes.
        prop_assert_eq!(one.to_string() == other.to_string(), one == other);
    }
}
