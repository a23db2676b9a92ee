//! Tests of the order of requests, `100 Continue` and responses on one connection.

use async_std::task::block_on;
use googletest::prelude::*;
use http::{Limits, Server};

use crate::server::{LOCAL, echo};
use crate::{message, support};

#[gtest]
fn a_caller_may_wait_to_be_told_to_go_on() {
    // A caller that sent `Expect: 100-continue` waits for `100 Continue` before it sends the body.
    block_on(async {
        let server = Server::bind(LOCAL, Limits::default(), echo).await.unwrap();
        let mut stream = support::connect(server.address());
        support::send(
            &mut stream,
            r"POST / HTTP/1.1\r\nhost: h\r\nexpect: 100-continue\r\ncontent-length: 2\r\n\r\n",
        );
        let (head, _) = message::read_message(&mut stream).unwrap();
        expect_that!(head, starts_with("HTTP/1.1 100"));
        support::send(&mut stream, "hi");
        let (_, body) = message::read_message(&mut stream).unwrap();
        expect_that!(body, eq("POST / [-] hi"));
    });
}

#[gtest]
fn the_word_to_go_on_never_comes_behind_the_answer() {
    // A caller sends `Expect: 100-continue` but doesn't wait. A `100 Continue` within or after the
    // final response would be read as part of it, or as the start of the next one.
    const TRIES: usize = 200;
    block_on(async {
        let server = Server::bind(LOCAL, Limits::default(), echo).await.unwrap();
        let mut stream = support::connect(server.address());
        for nr in 0..TRIES {
            support::send(
                &mut stream,
                r"POST / HTTP/1.1\r\nhost: h\r\nexpect: 100-continue\r\ncontent-length: 2\r\n\r\nhi",
            );
            let (mut head, mut body) = message::read_message(&mut stream).unwrap();
            if head.starts_with("HTTP/1.1 100") {
                (head, body) = message::read_message(&mut stream).unwrap();
            }
            assert!(head.starts_with("HTTP/1.1 200"), "request {nr}: {head}");
            assert_eq!(body, "POST / [-] hi", "request {nr}");
            support::send(&mut stream, r"GET / HTTP/1.1\r\nhost: h\r\n\r\n");
            let (head, _) = message::read_message(&mut stream).unwrap();
            assert!(
                head.starts_with("HTTP/1.1 200"),
                "request after request {nr}: {head}"
            );
        }
    });
}

#[gtest]
fn a_head_hides_no_second_request() {
    // The library also ends a head at two line feeds. A second request after such an end would be
    // dropped, and the caller would take each later response for that to the request before it.
    block_on(async {
        let server = Server::bind(LOCAL, Limits::default(), echo).await.unwrap();
        let mut stream = support::connect(server.address());
        support::send(
            &mut stream,
            r"GET /first HTTP/1.1\nhost: h\n\nGET /second HTTP/1.1\r\nhost: h\r\n\r\n",
        );
        let (head, _) = message::read_message(&mut stream).unwrap();
        expect_that!(head, starts_with("HTTP/1.1 400"));
        expect_that!(head, contains_substring("connection: close"));
    });
}
