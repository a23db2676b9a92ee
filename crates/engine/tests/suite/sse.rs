//! Tests of the event stream parser.

use engine::sse::{Error, Parser};
use expect_test::{Expect, expect};

fn check(input: &[u8], expect: &Expect) {
    let mut parser = Parser::default();
    let mut events = Vec::new();
    let result = parser.feed(input, |event| {
        events.push(format!("{:?} {:?}", event.name, event.data));
        Ok::<_, Error>(())
    });
    if let Err(err) = result {
        events.push(format!("{err:?}"));
    }
    expect.assert_eq(&events.join("\n"));
}

#[test]
fn single_event() {
    check(b"data: a\n\n", &expect![[r#""" "a""#]]);
}

#[test]
fn the_event_name_is_parsed_and_other_fields_are_ignored() {
    check(
        b": keep-alive\nevent: error\nid: 4\nretry: 5\ndata: a\n\n",
        &expect![[r#""error" "a""#]],
    );
}

#[test]
fn data_lines_are_joined() {
    check(b"data: a\ndata:b\ndata\n\n", &expect![[r#""" "a\nb\n""#]]);
}

#[test]
fn all_line_endings() {
    check(
        b"data: a\r\n\r\ndata: b\r\rdata: c\n\n",
        &expect![[r#"
            "" "a"
            "" "b"
            "" "c""#]],
    );
}

#[test]
fn a_byte_order_mark_is_skipped_once() {
    check(
        b"\xef\xbb\xbfdata: a\n\n\xef\xbb\xbfdata: b\n\n",
        &expect![[r#""" "a""#]],
    );
}

#[test]
fn events_without_data_are_ignored() {
    check(b"event: a\n\ndata: b\n\n", &expect![[r#""" "b""#]]);
}

#[test]
fn an_event_ends_with_an_empty_line() {
    check(b"data: a\n", &expect![""]);
}

#[test]
fn invalid_utf8_is_rejected() {
    check(b"data: \xff\n\n", &expect!["Encoding"]);
}

#[test]
fn line_length_is_limited() {
    // A peer that never ends a line must not exhaust the host's memory.
    check(&vec![b'a'; 2 << 20], &expect!["TooLarge"]);
}

#[test]
fn event_size_is_limited() {
    check(&b"data: a\n".repeat(2 << 20), &expect!["TooLarge"]);
}
