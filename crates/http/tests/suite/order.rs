//! Tests of the order of requests, `100 Continue` and responses on one connection.

use async_std::task::block_on;
use googletest::prelude::*;
use http::{Limits, Server};

use crate::server::{LOCAL, echo};
use crate::{message, support};

#[gtest]
fn a_caller_that_expects_100_continue_gets_it_before_sending_the_body() {
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
fn a_100_continue_never_follows_the_response() {
    // A caller sends `Expect: 100-continue` but doesn't wait. A `100 Continue` within or after the
    // final response would be read as part of it, or as the start of the next one.
    const ROUNDS: usize = 200;
    block_on(async {
        let server = Server::bind(LOCAL, Limits::default(), echo).await.unwrap();
        let mut stream = support::connect(server.address());
        for number in 0..ROUNDS {
            support::send(
                &mut stream,
                r"POST / HTTP/1.1\r\nhost: h\r\nexpect: 100-continue\r\ncontent-length: 2\r\n\r\nhi",
            );
            let (mut head, mut body) = message::read_message(&mut stream).unwrap();
            if head.starts_with("HTTP/1.1 100") {
                (head, body) = message::read_message(&mut stream).unwrap();
            }
            assert!(head.starts_with("HTTP/1.1 200"), "request {number}: {head}");
            assert_eq!(body, "POST / [-] hi", "request {number}");
            support::send(&mut stream, r"GET / HTTP/1.1\r\nhost: h\r\n\r\n");
            let (head, _) = message::read_message(&mut stream).unwrap();
            assert!(
                head.starts_with("HTTP/1.1 200"),
                "request after request {number}: {head}"
            );
        }
    });
}

#[gtest]
fn a_head_with_bare_line_feeds_is_rejected() {
    // The library also ends a head at two line feeds, and would drop the second request as the rest
    // of the head. It would get no response, and the caller would match each later response to the
    // request before.
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
