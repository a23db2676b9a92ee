//! What comes on one connection, in its order: requests, the word to go on, answers.

use async_std::task::block_on;
use googletest::prelude::*;
use http::{Limits, Server};

use crate::server::{LOCAL, echo};
use crate::{message, support};

#[gtest]
fn a_caller_may_wait_to_be_told_to_go_on() {
    // Story: a caller's library asks before it sends a long dossier, and waits
    // for the word. Without it the dossier would never come.
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
    // Story: a caller's library asks whether to send its question and sends it without
    // waiting. The answer goes out at once, and then the word to go on: a second
    // status line, in the answer or in front of the connection's next one. The word was
    // written by a task of its own, which nothing held back once the answer had begun.
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
            assert!(head.starts_with("HTTP/1.1 200"), "question {nr}: {head}");
            assert_eq!(body, "POST / [-] hi", "question {nr}");
            support::send(&mut stream, r"GET / HTTP/1.1\r\nhost: h\r\n\r\n");
            let (head, _) = message::read_message(&mut stream).unwrap();
            assert!(
                head.starts_with("HTTP/1.1 200"),
                "behind question {nr}: {head}"
            );
        }
    });
}

#[gtest]
fn a_head_hides_no_second_request() {
    // Story: a caller's program ends its lines with a line feed alone and sends two
    // questions at once. The second one's head went as the rest of the first one's, since
    // here and in the library heads end differently: it was never answered, and each
    // later answer on that connection belonged to the question before.
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
