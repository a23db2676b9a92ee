//! Tests of the server against callers on raw sockets.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::pin::pin;
use std::time::Duration;

use async_std::channel::{Receiver, Sender, bounded};
use async_std::task::block_on;
use datadriven::{TestCase, walk};
use googletest::prelude::*;
use http::{Body, Limits, Request, Response, Server, Status};
use proptest::prelude::*;
use serde_json::Value;

use crate::{message, support};

pub(crate) const LOCAL: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

pub(crate) async fn echo(request: Request) -> Response {
    let seen = format!("{} {}", request.method, request.target);
    let class = request.headers.get("class").unwrap_or("-").to_owned();
    match request.body.collect(1 << 20).await {
        Ok(bytes) => {
            let body = String::from_utf8_lossy(&bytes).into_owned();
            Response::text(Status::Ok, format!("{seen} [{class}] {body}"))
        }
        Err(err) => Response::text(Status::BadRequest, format!("{seen}: {err}")),
    }
}

fn raw(case: &mut TestCase) -> String {
    let responses = case.try_take_arg("answers").unwrap().unwrap_or(1);
    let mut limits = Limits::default();
    if let Some(ms) = case.try_take_arg("head-ms").unwrap() {
        limits.head_timeout = Duration::from_millis(ms);
    }
    if let Some(ms) = case.try_take_arg("body-ms").unwrap() {
        limits.body_timeout = Duration::from_millis(ms);
    }
    if let Some(max) = case.try_take_arg("max-body").unwrap() {
        limits.max_body = max;
    }
    if let Some(max) = case.try_take_arg("max-head").unwrap() {
        limits.max_head = max;
    }
    let server = block_on(Server::bind(LOCAL, limits, echo)).unwrap();
    let mut stream = support::connect(server.address());
    let input: String = case.input.lines().collect();
    support::send(&mut stream, &input);
    let mut output = String::new();
    let mut is_closed = false;
    for _ in 0..responses {
        let Some((head, body)) = message::read_message(&mut stream) else {
            output.push_str("closed without a response\n");
            return output;
        };
        is_closed = head.contains("connection: close");
        output.push_str(&describe(&head, &body));
    }
    if is_closed {
        expect_that!(stream.read(&mut [0]), ok(eq(&0)));
        output.push_str("closed\n");
    }
    output
}

fn describe(head: &str, body: &str) -> String {
    let status = head.lines().next().unwrap();
    if head.contains("application/problem+json") {
        let problem: Value = serde_json::from_str(body).unwrap();
        let text = |key: &str| problem[key].as_str().unwrap().to_owned();
        let (reason, run, detail) = (text("reason"), text("run"), text("detail"));
        return format!("{status}\n{reason}, {run}: {detail}\n");
    }
    format!("{status}\n{body}\n")
}

#[gtest]
fn the_server_responds_to_scripted_requests_as_recorded() {
    walk("tests/data/server", |file| {
        file.run(|case| match case.directive.as_str() {
            "raw" => raw(case),
            other => panic!("unknown directive {other}"),
        });
    });
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(128))]

    #[test]
    fn arbitrary_input_does_not_stop_the_server(
        head in "(GET|POST|PUT|X) [ -~]{0,20} HTTP/1\\.[01]\r\n([a-z-]{1,16}: ?[ -ÿ]{0,16}\r\n){0,4}",
        random_bytes in proptest::collection::vec(any::<u8>(), 0..64),
    ) {
        let server = block_on(Server::bind(LOCAL, Limits::default(), echo)).unwrap();
        for bytes in [head.as_bytes(), &random_bytes] {
            let mut stream = support::connect(server.address());
            let mut all = bytes.to_vec();
            all.extend_from_slice(b"\r\n\r\n");
            stream.write_all(&all).unwrap();
            stream.shutdown(Shutdown::Write).unwrap();
            // The server responds or closes the connection; the read must not time out.
            let end = stream.read_to_end(&mut Vec::new());
            prop_assert!(!end.is_err_and(|err| err.kind() == ErrorKind::WouldBlock));
        }
        let mut stream = support::connect(server.address());
        support::send(&mut stream, r"GET / HTTP/1.1\r\nhost: h\r\n\r\n");
        prop_assert!(message::read_message(&mut stream).is_some());
    }
}

/// Starts a server whose handler passes on each request and waits for its response, both through
/// the returned channels.
async fn start_server_with_manual_responses() -> (Server, Receiver<Request>, Sender<Response>) {
    let (started, requests) = bounded(8);
    let (responses, response_receiver) = bounded::<Response>(8);
    let server = Server::bind(LOCAL, Limits::default(), move |request| {
        let (started, response_receiver) = (started.clone(), response_receiver.clone());
        async move {
            started.send(request).await.unwrap();
            response_receiver.recv().await.unwrap()
        }
    });
    (server.await.unwrap(), requests, responses)
}

#[gtest]
fn a_drain_waits_for_requests_in_flight() {
    // A restart must not truncate the response to a request in flight.
    block_on(async {
        let (server, requests, responses) = start_server_with_manual_responses().await;
        let mut stream = support::connect(server.address());
        support::send(&mut stream, r"GET / HTTP/1.1\r\nhost: h\r\n\r\n");
        requests.recv().await.unwrap();

        let drained_at_once = server.drain(Duration::ZERO, Duration::ZERO).await;
        expect_that!(drained_at_once.in_flight, eq(1));

        responses
            .send(Response::text(Status::Ok, "whole"))
            .await
            .unwrap();
        let drained = server.drain(Duration::ZERO, Duration::from_secs(30)).await;
        expect_that!(drained.in_flight, eq(0));
        let (head, body) = message::read_message(&mut stream).unwrap();
        expect_that!(head, contains_substring("connection: close"));
        expect_that!(body, eq("whole"));
    });
}

#[gtest]
fn a_drain_closes_idle_connections() {
    block_on(async {
        let server = Server::bind(LOCAL, Limits::default(), echo).await.unwrap();
        let mut stream = support::connect(server.address());
        support::send(&mut stream, r"GET / HTTP/1.1\r\nhost: h\r\n\r\n");
        message::read_message(&mut stream).unwrap();
        server.drain(Duration::ZERO, Duration::from_secs(30)).await;
        expect_that!(stream.read(&mut [0]), ok(eq(&0)));
    });
}

/// Starts a server whose minimum open time is longer than any test.
async fn start_server_with_long_min_open_time() -> Server {
    let limits = Limits {
        min_open_time: Duration::from_mins(1),
        ..Limits::default()
    };
    Server::bind(LOCAL, limits, echo).await.unwrap()
}

/// Shuts down `server` with `stream` open, then sends a request on `stream`.
async fn request_after_stop(server: &Server, mut stream: TcpStream) -> String {
    let mut drain = pin!(server.drain(Duration::ZERO, Duration::from_secs(30)));
    assert!(futures::poll!(drain.as_mut()).is_pending());
    // A closed listener shows that the accept loop has seen the stop.
    while TcpStream::connect(server.address()).is_ok() {}
    support::send(&mut stream, r"GET /late HTTP/1.1\r\nhost: h\r\n\r\n");
    let response = message::read_message(&mut stream);
    drop(stream);
    let drained = drain.await;
    let (head, body) = response.unwrap_or_default();
    let is_closing = head.contains("connection: close");
    format!(
        "{body}, closing: {is_closing}, in flight: {}",
        drained.in_flight
    )
}

#[gtest]
fn a_drain_serves_a_request_after_a_recent_response() {
    // The head of the last response said that the connection is kept. If it were closed at once, a
    // caller that sends its next request couldn't know whether it ran.
    for _ in 0..20 {
        let end = block_on(async {
            let server = start_server_with_long_min_open_time().await;
            let mut stream = support::connect(server.address());
            support::send(&mut stream, r"GET / HTTP/1.1\r\nhost: h\r\n\r\n");
            message::read_message(&mut stream).unwrap();
            request_after_stop(&server, stream).await
        });
        expect_that!(end, eq("GET /late [-] , closing: true, in flight: 0"));
    }
}

#[gtest]
fn a_drain_serves_a_request_on_a_new_connection() {
    // If a connection that was accepted just before the stop were closed at once, a caller that
    // sends its first request couldn't know whether it ran.
    for _ in 0..20 {
        let end = block_on(async {
            let server = start_server_with_long_min_open_time().await;
            let stream = support::connect(server.address());
            request_after_stop(&server, stream).await
        });
        expect_that!(end, eq("GET /late [-] , closing: true, in flight: 0"));
    }
}

#[gtest]
fn a_handler_is_notified_when_its_caller_disconnects() {
    // Without the notification, an engine would keep generating for a caller that disconnected.
    block_on(async {
        let (server, requests, _responses) = start_server_with_manual_responses().await;
        let mut stream = support::connect(server.address());
        support::send(
            &mut stream,
            r"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 2\r\n\r\nhi",
        );
        let request = requests.recv().await.unwrap();
        let disconnect = request.disconnect.clone();
        expect_that!(request.body.collect(16).await, ok(eq(b"hi".as_slice())));
        drop(stream);
        disconnect.wait().await;
    });
}

#[gtest]
fn a_producer_is_notified_when_its_caller_disconnects() {
    // A disconnect during a stream must be noticed even while the producer sends nothing.
    block_on(async {
        let (server, requests, responses) = start_server_with_manual_responses().await;
        let mut stream = support::connect(server.address());
        support::send(&mut stream, r"GET / HTTP/1.1\r\nhost: h\r\n\r\n");
        let request = requests.recv().await.unwrap();
        let (pieces, response) = Response::events(1);
        responses.send(response).await.unwrap();
        pieces.send("data: one\n\n").await.unwrap();
        let mut seen = [0; 8];
        stream.read_exact(&mut seen).unwrap();
        drop(stream);
        request.disconnect.wait().await;
        while pieces.send("data: two\n\n").await.is_ok() {}
        expect_that!(pieces.is_closed(), is_true());
    });
}

#[gtest]
fn a_stream_whose_producer_failed_lacks_its_last_chunk() {
    // If the producer fails halfway, the final chunk must be missing, so that the caller doesn't
    // take the partial response for a complete one.
    block_on(async {
        let (server, requests, responses) = start_server_with_manual_responses().await;
        let mut stream = support::connect(server.address());
        support::send(&mut stream, r"GET / HTTP/1.1\r\nhost: h\r\n\r\n");
        requests.recv().await.unwrap();
        let (pieces, response) = Response::events(1);
        responses.send(response).await.unwrap();
        pieces.send("half").await.unwrap();
        drop(pieces);
        let mut all = String::new();
        stream.read_to_string(&mut all).unwrap();
        expect_that!(all, ends_with("\r\n\r\n4\r\nhalf\r\n"));
    });
}

#[gtest]
fn a_body_shorter_than_its_length_closes_the_connection() {
    // The connection must close, or the caller would read the next response as the rest of this
    // body.
    block_on(async {
        let server = Server::bind(LOCAL, Limits::default(), |_| async {
            let half = Body::reader(futures::io::Cursor::new("half"), Some(8));
            Response::new(Status::Ok).body(half)
        });
        let server = server.await.unwrap();
        let mut stream = support::connect(server.address());
        support::send(&mut stream, r"GET / HTTP/1.1\r\nhost: h\r\n\r\n");
        let mut all = String::new();
        stream.read_to_string(&mut all).unwrap();
        expect_that!(all, contains_substring("content-length: 8"));
        expect_that!(all, ends_with("\r\n\r\nhalf"));
    });
}

#[gtest]
fn connections_beyond_the_limit_are_rejected() {
    block_on(async {
        let limits = Limits {
            max_connections: 1,
            ..Limits::default()
        };
        let server = Server::bind(LOCAL, limits, echo).await.unwrap();
        let mut first = support::connect(server.address());
        support::send(&mut first, r"GET / HTTP/1.1\r\nhost: h\r\n\r\n");
        message::read_message(&mut first).unwrap();
        let mut second = support::connect(server.address());
        let (head, body) = message::read_message(&mut second).unwrap();
        expect_that!(head, starts_with("HTTP/1.1 503"));
        expect_that!(body, contains_substring(r#""reason":"overloaded""#));
        expect_that!(body, contains_substring(r#""run":"not_run""#));
    });
}

#[gtest]
fn a_caller_that_reads_nothing_is_disconnected() {
    // A caller that stops reading must not occupy the stream, and the engine behind it, forever.
    block_on(async {
        let limits = Limits {
            write_timeout: Duration::from_millis(30),
            ..Limits::default()
        };
        let (pieces, body) = Body::channel(1);
        let body = std::sync::Mutex::new(Some(body));
        let server = Server::bind(LOCAL, limits, move |_| {
            let body = body.lock().unwrap().take().unwrap();
            async { Response::new(Status::Ok).body(body) }
        });
        let mut stream = support::connect(server.await.unwrap().address());
        support::send(&mut stream, r"GET / HTTP/1.1\r\nhost: h\r\n\r\n");
        while pieces.send(vec![b'x'; 1 << 16]).await.is_ok() {}
        expect_that!(pieces.is_closed(), is_true());
    });
}

#[gtest]
fn an_idle_connection_is_closed_after_the_idle_timeout() {
    block_on(async {
        let limits = Limits {
            idle_timeout: Duration::from_millis(30),
            ..Limits::default()
        };
        let server = Server::bind(LOCAL, limits, echo).await.unwrap();
        let mut stream = support::connect(server.address());
        support::send(&mut stream, r"GET / HTTP/1.1\r\nhost: h\r\n\r\n");
        expect_that!(message::read_message(&mut stream), some(anything()));
        expect_that!(stream.read(&mut [0]), ok(eq(&0)));
    });
}
