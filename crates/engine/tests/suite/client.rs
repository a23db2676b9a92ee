//! Tests of the client against scripted endpoints.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use async_std::future::timeout;
use async_std::task::block_on;
use datadriven::{TestCase, walk};
use engine::{
    Attempt, Call, Chat, Client, Code, Endpoint, Failure, FailureCause, Fault, Order, Priority,
    Wanted,
};
use http::{Body, Headers, Method, Options, PoolLimits};
use kernel::{AttemptId, Incarnation, SystemClock};
use serde_json::json;

use crate::message::read_message;

/// An endpoint that accepts one request and sends a fixed response. Its thread
/// returns the request's head without `host` and `content-length`, and its body.
struct ScriptedEndpoint {
    endpoint: Endpoint,
    received: thread::JoinHandle<String>,
}

impl ScriptedEndpoint {
    fn start(response: Vec<u8>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let endpoint = endpoint(listener.local_addr().unwrap());
        let received = thread::spawn(move || {
            let (mut stream, _) = listener.accept().unwrap();
            let received = receive(&mut stream);
            stream.write_all(&response).unwrap();
            received
        });
        Self { endpoint, received }
    }
}

fn endpoint(address: SocketAddr) -> Endpoint {
    Endpoint {
        address,
        incarnation: Incarnation(42),
    }
}

fn receive(stream: &mut TcpStream) -> String {
    let (head, body) = read_message(stream).unwrap();
    let fields: Vec<_> = head
        .lines()
        .filter(|it| !it.starts_with("host: ") && !it.starts_with("content-length: "))
        .filter(|it| !it.is_empty())
        .collect();
    format!("{}\n{body}", fields.join("\n"))
}

/// Builds a response from `status` and the input. With `cut` the connection closes before
/// the declared length.
fn scripted_response(case: &mut TestCase) -> Vec<u8> {
    let status: String = case.take_arg("status").unwrap();
    let cut = case.take_flag("cut").unwrap();
    let body = case.input.trim_end();
    let len = body.len() + if cut { 10 } else { 0 };
    format!("HTTP/1.1 {status} X\r\ncontent-length: {len}\r\n\r\n{body}").into_bytes()
}

fn client() -> Client {
    let http = http::Client::new(Arc::new(SystemClock::new()), PoolLimits::default());
    Client::new(http)
}

fn attempt() -> Attempt {
    Attempt {
        request: "r1".into(),
        host: Incarnation(7),
        id: AttemptId(1),
        priority: Priority::Urgent,
    }
}

fn chat() -> Chat {
    Chat {
        model: "small@1".into(),
        messages: Arc::new(json!([{"role": "user", "content": "hola"}])),
        max_tokens: Some(16),
        class: "general".into(),
    }
}

fn order() -> Order {
    Order {
        order: "o1".to_owned(),
        fencing: 3,
        version: "small@2".into(),
        wanted: Wanted::Loaded,
    }
}

fn seat_hold() -> Call {
    Call {
        method: Method::Post,
        target: "/holds?tour=9".to_owned(),
        headers: [
            ("x-incarnation", "1"),
            ("Authorization", "Bearer secret"),
            ("barleypin-ticket", "t"),
            ("idempotency-key", "k"),
            ("accept-language", "es"),
        ]
        .into_iter()
        .collect(),
        body: Body::bytes("two seats"),
    }
}

async fn run(directive: &str, to: &Endpoint) -> String {
    let (client, attempt, options) = (client(), attempt(), Options::default());
    match directive {
        "chat" => format!("{:?}", client.chat(to, &attempt, &chat(), &options).await),
        "stream" => match client.stream(to, &attempt, &chat(), &options).await {
            Err(failure) => format!("{failure:?}"),
            Ok(mut stream) => {
                let mut text = String::new();
                while let Some(new) = stream.next().await {
                    text.push_str(new);
                }
                format!("{text:?} {:?}", stream.finish().await)
            }
        },
        "call" => match client.call(to, &attempt, seat_hold(), &options).await {
            Err(failure) => format!("{failure:?}"),
            Ok(response) => {
                let status = response.status;
                let body = response.body.collect(1 << 20).await;
                format!("{status} {:?}", body.map(String::from_utf8))
            }
        },
        "load" => format!("{:?}", client.load(to, &options).await),
        "order" => format!("{:?}", client.order(to, &order(), &options).await),
        "cancel" => format!("{:?}", client.cancel(to, &attempt, &options).await),
        other => panic!("unknown directive {other}"),
    }
}

#[test]
fn scripted_endpoints() {
    walk("tests/data/client", |file| {
        file.run(|case| {
            let show = case.take_flag("show-request").unwrap();
            let fake = ScriptedEndpoint::start(scripted_response(case));
            let result = block_on(run(&case.directive, &fake.endpoint));
            let received = fake.received.join().unwrap();
            if show {
                format!("{received}\n\n{result}\n")
            } else {
                format!("{result}\n")
            }
        });
    });
}

#[test]
fn a_refused_connection_is_reported_as_not_sent() {
    // The endpoint's process has exited. The call can be sent to another endpoint.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let to = endpoint(listener.local_addr().unwrap());
    drop(listener);
    for directive in ["chat", "stream", "call", "load", "order", "cancel"] {
        let line = block_on(run(directive, &to));
        assert!(line.contains("NotSent(Refused)"), "{directive}: {line}");
    }
}

#[test]
fn an_endpoint_that_hangs_may_have_run() {
    // An engine that doesn't respond may be paused and run the request later.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let to = endpoint(listener.local_addr().unwrap());
    let options = Options {
        first_byte: Duration::from_millis(30),
        ..Options::default()
    };
    let result = block_on(client().chat(&to, &attempt(), &chat(), &options));
    expect_test::expect!["Err(MayHaveRun(Link(Timeout)))"].assert_eq(&format!("{result:?}"));
}

#[test]
fn a_response_is_complete_after_its_end_marker() {
    // An engine that sends the end marker but leaves the body open must not delay a
    // complete response until the timeout, nor turn it into a failure.
    let events = "data: {\"id\":\"7-1\",\"index\":0,\"choices\":[{\"delta\":{\"content\":\"hi\"},\
                  \"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":1,\
                  \"completion_tokens\":1}}\n\ndata: [DONE]\n\n";
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let to = endpoint(listener.local_addr().unwrap());
    let (release, until) = std::sync::mpsc::channel::<()>();
    let engine = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        receive(&mut stream);
        let len = events.len();
        let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        write!(stream, "{head}{len:x}\r\n{events}\r\n").unwrap();
        // Keeps the body open until the test has its response.
        let _ = until.recv();
    });
    let response = async {
        let stream = client()
            .stream(&to, &attempt(), &chat(), &Options::default())
            .await;
        stream.unwrap().finish().await.unwrap()
    };
    // Shorter than `Options::total`.
    let response = block_on(timeout(Duration::from_secs(10), response)).unwrap();
    assert_eq!(response.content, "hi");
    drop(release);
    engine.join().unwrap();
}

#[test]
fn connection_headers_are_not_forwarded() {
    let headers: Headers = [("connection", "close"), ("transfer-encoding", "gzip")]
        .into_iter()
        .collect();
    let call = Call {
        headers,
        ..seat_hold()
    };
    let fake = ScriptedEndpoint::start(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n".to_vec());
    let options = Options::default();
    block_on(client().call(&fake.endpoint, &attempt(), call, &options)).unwrap();
    let received = fake.received.join().unwrap();
    assert!(
        !received.contains("gzip") && !received.contains("connection"),
        "{received}"
    );
}

/// Starts an endpoint that accepts one connection per item of `connections`. It reads one
/// request before each string of the item and then sends that string, which may contain
/// several responses.
fn start_with_connections(connections: Vec<Vec<String>>) -> Endpoint {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let to = endpoint(listener.local_addr().unwrap());
    thread::spawn(move || {
        for responses in connections {
            let (mut stream, _) = listener.accept().unwrap();
            for response in responses {
                if read_message(&mut stream).is_none() {
                    break;
                }
                stream.write_all(response.as_bytes()).unwrap();
            }
        }
    });
    to
}

fn response_text(status: &str, body: &str) -> String {
    let len = body.len();
    format!("HTTP/1.1 {status}\r\ncontent-length: {len}\r\n\r\n{body}")
}

fn refusal() -> String {
    response_text("503 X", r#"{"error":{"code":"overloaded"}}"#)
}

fn chat_response(attempt: &str) -> String {
    let body = json!({"id": attempt, "choices": [{"message": {"content": "hi"}}],
        "finish_reason": "stop", "usage": {"prompt_tokens": 1, "completion_tokens": 1}});
    response_text("200 OK", &body.to_string())
}

#[test]
fn a_late_refusal_is_not_the_response_to_the_next_call() {
    // A duplicate refusal on a reused connection must not be taken as the response to the
    // next call, which would be reported as not run although it ran.
    let to = start_with_connections(vec![
        vec![refusal(), refusal() + &response_text("200 OK", "booked")],
        vec![response_text("200 OK", "booked")],
    ]);
    let client = client();
    let send = || async {
        let response = client
            .call(&to, &attempt(), seat_hold(), &Options::default())
            .await;
        response.map(|it| it.status)
    };
    let first = block_on(send());
    assert_eq!(first.unwrap_err(), Failure::Refused(Code::Overloaded));
    assert_eq!(block_on(send()).unwrap(), http::Status::Ok);
}

#[test]
fn a_response_to_another_attempt_closes_the_connection() {
    // With one response too many on a reused connection, every later request would read
    // the response to the request before it. The connection must be closed.
    let to = start_with_connections(vec![
        vec![chat_response("7-0"), chat_response("7-1")],
        vec![chat_response("7-2")],
    ]);
    let client = client();
    let send = |id| {
        let attempt = Attempt {
            id: AttemptId(id),
            ..attempt()
        };
        block_on(client.chat(&to, &attempt, &chat(), &Options::default()))
    };
    let foreign = Failure::Cut(FailureCause::Content(Fault::Foreign));
    assert_eq!(send(1).unwrap_err(), foreign);
    assert_eq!(send(2).unwrap().content, "hi");
}

#[test]
fn a_malformed_load_report_closes_the_connection() {
    // With one response too many on a reused connection, every later load report would
    // be malformed, and a healthy endpoint would be considered unavailable.
    let report = json!({"name": "e1", "incarnation": 42, "state": "live", "running": 1,
        "waiting": 0, "slots": 8, "versions": [], "age_ms": 0});
    let to = start_with_connections(vec![
        vec![chat_response("7-0"), chat_response("7-1")],
        vec![response_text("200 OK", &report.to_string())],
    ]);
    let client = client();
    let send = || block_on(client.load(&to, &Options::default()));
    let malformed = Failure::Cut(FailureCause::Content(Fault::Malformed));
    assert_eq!(send().unwrap_err(), malformed);
    assert_eq!(send().unwrap().slots, 8);
}
