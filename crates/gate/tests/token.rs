//! Encoding and verification of session tokens, tickets and forwarding proofs.

use std::time::Duration;

use gate::session::Token;
use gate::ticket::{Ticket, forwarding_proof, is_forwarding_proof};
use kernel::{Incarnation, Secret};
use proptest::prelude::*;

fn secret(material: &str) -> Secret {
    Secret::derive("test", material.as_bytes())
}

fn token() -> Token {
    Token {
        customer: "portal".into(),
        profile: "dossier".into(),
        version: "strong@2".into(),
        issued: Duration::from_millis(17),
    }
}

fn ticket() -> Ticket {
    Ticket {
        incarnation: Incarnation(7),
        host: "entry-1".into(),
        expiry: Duration::from_mins(1),
        floor: 3,
    }
}

fn open_error_detail(text: &str, customer: &str, profile: &str) -> String {
    Token::open(&secret("a"), text, &customer.into(), &profile.into())
        .unwrap_err()
        .detail
}

#[test]
fn sealed_values_round_trip() {
    let sealed = token().seal(&secret("a"));
    let opened = Token::open(&secret("a"), &sealed, &"portal".into(), &"dossier".into());
    assert_eq!(opened.unwrap(), token());
    let sealed = ticket().seal(&secret("a"));
    assert_eq!(Ticket::open(&secret("a"), &sealed).unwrap(), ticket());
}

#[test]
fn a_foreign_token_is_refused_with_what_is_wrong() {
    let sealed = token().seal(&secret("a"));
    assert_eq!(
        open_error_detail(&sealed, "gates", "dossier"),
        "barleypin-session: belongs to another customer"
    );
    assert_eq!(
        open_error_detail(&sealed, "portal", "era-tags"),
        "barleypin-session: belongs to profile dossier, not era-tags"
    );
    assert_eq!(
        open_error_detail(&token().seal(&secret("b")), "portal", "dossier"),
        "barleypin-session: is not a token of this system; leave it out to start anew"
    );
}

#[test]
fn ticket_is_rejected_as_session_token() {
    let sealed = ticket().seal(&secret("a"));
    let renamed = sealed.replacen("t1.", "s1.", 1);
    assert!(open_error_detail(&sealed, "portal", "dossier").contains("not a token"));
    assert!(Token::open(&secret("a"), &renamed, &"portal".into(), &"dossier".into()).is_err());
}

#[test]
fn forwarding_proof_is_bound_to_secret_and_ticket() {
    let ticket = ticket().seal(&secret("a"));
    let proof = forwarding_proof(&secret("a"), &ticket);
    assert!(is_forwarding_proof(&secret("a"), &ticket, &proof));
    assert!(!is_forwarding_proof(&secret("a"), "t1.00", &proof));
    assert!(!is_forwarding_proof(&secret("b"), &ticket, &proof));
    assert!(!is_forwarding_proof(&secret("a"), &ticket, &ticket));
}

proptest! {
    #[test]
    fn a_changed_token_is_refused(at in 3_usize..200, digit in "[0-9a-f]") {
        let sealed = token().seal(&secret("a"));
        let at = at.min(sealed.len() - 1);
        prop_assume!(sealed[at..=at] != digit);
        let mut changed = sealed;
        changed.replace_range(at..=at, &digit);
        prop_assert!(
            Token::open(&secret("a"), &changed, &"portal".into(), &"dossier".into()).is_err()
        );
    }

    #[test]
    fn any_text_is_refused_without_a_panic(text in "(s1\\.|t1\\.)?.{0,80}") {
        prop_assert!(Ticket::open(&secret("a"), &text).is_err());
        prop_assert!(
            Token::open(&secret("a"), &text, &"portal".into(), &"dossier".into()).is_err()
        );
    }
}
