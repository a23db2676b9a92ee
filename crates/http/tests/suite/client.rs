//! Tests of the client against scripted peers.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use async_std::task::block_on;
use datadriven::{TestCase, walk};
use http::{Body, Cause, Client, Error, Method, Options, PoolLimits, Request, RetryPolicy};
use kernel::{ManualClock, SystemClock};

use crate::{message, support};

/// The time for which a peer sends bytes without end, if the client doesn't close the connection.
const MAX_ENDLESS_TIME: Duration = Duration::from_secs(4);

/// A peer that plays one script for each connection, in the order in which they are accepted.
struct Peer {
    address: SocketAddr,
    /// Receives a message for each connection that the peer has closed at the end of its
    /// script.
    closed: Receiver<()>,
    /// Dropping these ends the scripts that hold their connection open.
    release: Vec<Sender<()>>,
}

impl Peer {
    fn start(script: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (closed_sender, closed) = channel();
        let mut release = Vec::new();
        let mut scripts = Vec::new();
        for script in script.split("conn\n").skip(1) {
            let (sender, hold) = channel();
            release.push(sender);
            scripts.push((script.to_owned(), hold));
        }
        thread::spawn(move || {
            for (script, hold) in scripts {
                let (stream, _) = listener.accept().unwrap();
                let closed_sender = closed_sender.clone();
                thread::spawn(move || {
                    play(stream, &script, &hold);
                    let _ = closed_sender.send(());
                });
            }
        });
        Self {
            address,
            closed,
            release,
        }
    }
}

fn play(mut stream: std::net::TcpStream, script: &str, hold: &Receiver<()>) {
    for line in script.lines() {
        match line.split_once(' ').unwrap_or((line, "")) {
            ("recv", _) => drop(message::read_message(&mut stream)),
            // Reads only the first bytes of a request. At the end of the script the connection is
            // then reset.
            ("recv-part", _) => stream.read_exact(&mut [0; 64]).unwrap(),
            ("send-endlessly", text) => send_endlessly(&mut stream, text),
            ("send", text) => support::send(&mut stream, text),
            // Waits until the test drops the senders in `release`.
            ("hold", _) => drop(hold.recv()),
            other => panic!("unknown step {other:?}"),
        }
    }
}

/// Sends the text again and again until the connection ends or [`MAX_ENDLESS_TIME`] is over.
fn send_endlessly(stream: &mut std::net::TcpStream, text: &str) {
    let end = Instant::now() + MAX_ENDLESS_TIME;
    let bytes = support::unescape(text).repeat(100);
    while Instant::now() < end && stream.write_all(&bytes).is_ok() {}
}

async fn send_request(
    client: &Client,
    to: SocketAddr,
    method: Method,
    options: &Options,
) -> String {
    let request = Request::new(method, "/").body(Body::bytes("question"));
    send(client, to, request, options).await
}

/// Returns the response, or the error with which sending the request or reading the response
/// ended.
async fn send(client: &Client, to: SocketAddr, request: Request, options: &Options) -> String {
    let response = match client.send(to, request, options).await {
        Ok(response) => response,
        Err(err) => return format!("{err:?}"),
    };
    let status = response.status;
    match response.body.collect(1 << 20).await {
        Ok(bytes) if bytes.len() > 64 => format!("{status} {} bytes", bytes.len()),
        Ok(bytes) => format!("{status} {}", String::from_utf8_lossy(&bytes)),
        Err(err) => format!("{status} then {err:?}"),
    }
}

fn exchange(case: &mut TestCase) -> String {
    let requests = case.try_take_arg("requests").unwrap().unwrap_or(1);
    let await_close = case.take_flag("await-close").unwrap();
    let method = case.try_take_arg::<String>("method").unwrap();
    let method = method.map_or(Method::Post, |it| it.parse().unwrap());
    let first_byte = case
        .try_take_arg("first-byte-ms")
        .unwrap()
        .unwrap_or(30_000);
    let total = case.try_take_arg("total-ms").unwrap().unwrap_or(60_000);
    let body_bytes = case.try_take_arg("body-bytes").unwrap();
    let body = body_bytes.map_or_else(|| b"question".to_vec(), |it| vec![b'x'; it]);
    let retry_policy = if case.take_flag("idempotent").unwrap() {
        RetryPolicy::Idempotent
    } else {
        RetryPolicy::Never
    };
    let options = Options {
        connect: Duration::from_secs(30),
        first_byte: Duration::from_millis(first_byte),
        total: Duration::from_millis(total),
        retry_policy,
    };
    let peer = Peer::start(&case.input);
    let client = Client::new(Arc::new(SystemClock::new()), PoolLimits::default());
    let mut output = String::new();
    for idx in 0..requests {
        if await_close && idx > 0 {
            peer.closed.recv().unwrap();
        }
        let body = Body::bytes(body.clone());
        let request = Request::new(method, "/").body(body);
        let line = block_on(send(&client, peer.address, request, &options));
        output.push_str(line.trim_end());
        output.push('\n');
    }
    drop(peer.release);
    output
}

#[test]
fn the_client_handles_scripted_responses_as_recorded() {
    walk("tests/data/client", |file| {
        file.run(|case| match case.directive.as_str() {
            "exchange" => exchange(case),
            other => panic!("unknown directive {other}"),
        });
    });
}

#[test]
fn a_refused_connection_is_reported_as_not_sent() {
    // A caller may retry a request that must not run twice only if it is reported as not sent.
    let closed = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = closed.local_addr().unwrap();
    drop(closed);
    let client = Client::new(Arc::new(SystemClock::new()), PoolLimits::default());
    let line = block_on(send_request(
        &client,
        address,
        Method::Post,
        &Options::default(),
    ));
    expect_test::expect!["NotSent(Refused)"].assert_eq(&line);
}

#[test]
fn a_final_line_ending_may_be_split_between_reads() {
    // If a read ends between the last CR and LF, the chunk decoder returns `Pending` without
    // registering a waker. The caller of a complete response would wait until its timeout.
    const READ: usize = 8 * 1024;
    let head = "HTTP/1.1 200 OK\\r\\ntransfer-encoding: chunked\\r\\n\\r\\n";
    let around = support::unescape(head).len() + "1f00\r\n".len() + "\r\n0\r\n\r".len();
    let content = READ - around;
    let script = format!(
        "conn\nrecv\nsend {head}{content:04x}\\r\\n{}\\r\\n0\\r\\n\\r\\n\nhold\n",
        "x".repeat(content)
    );
    let peer = Peer::start(&script);
    let client = Client::new(Arc::new(SystemClock::new()), PoolLimits::default());
    let options = Options {
        total: Duration::from_secs(5),
        ..Options::default()
    };
    let line = block_on(send_request(&client, peer.address, Method::Post, &options));
    assert_eq!(line, format!("200 {content} bytes"));
}

#[test]
fn an_at_most_once_request_uses_no_expired_connection() {
    // The peer may close an old connection while a request is sent on it; the caller then can't
    // know whether the request ran.
    let script = "conn\nrecv\nsend HTTP/1.1 200 OK\\r\\ncontent-length: 3\\r\\n\\r\\none\nhold\n\
                  conn\nrecv\nsend HTTP/1.1 200 OK\\r\\ncontent-length: 3\\r\\n\\r\\ntwo\nhold\n";
    let peer = Peer::start(script);
    let clock = Arc::new(ManualClock::default());
    let pool = PoolLimits::default();
    let client = Client::new(Arc::clone(&clock) as _, pool);
    let options = Options::default();
    for expected in ["200 one", "200 two"] {
        let line = block_on(send_request(&client, peer.address, Method::Post, &options));
        assert_eq!(line, expected);
        clock.advance(pool.max_idle_time);
    }
}

/// Returns the responses to three requests to a peer that keeps its connections open. The second
/// request follows the first at once, the third after
/// [`PoolLimits::max_idle_time_at_most_once`].
fn responses_on_idle_connection(retry_policy: RetryPolicy) -> Vec<String> {
    let response = |text: &str| {
        format!("recv\nsend HTTP/1.1 200 OK\\r\\ncontent-length: 5\\r\\n\\r\\n{text}\n")
    };
    let script = format!(
        "conn\n{}{}{}hold\nconn\n{}hold\n",
        response("first"),
        response("again"),
        response("third"),
        response("fresh")
    );
    let peer = Peer::start(&script);
    let clock = Arc::new(ManualClock::default());
    let pool = PoolLimits::default();
    let client = Client::new(Arc::clone(&clock) as _, pool);
    let options = Options {
        retry_policy,
        ..Options::default()
    };
    let send = || block_on(send_request(&client, peer.address, Method::Post, &options));
    let mut lines = vec![send(), send()];
    clock.advance(pool.max_idle_time_at_most_once);
    lines.push(send());
    lines
}

#[test]
fn an_at_most_once_request_needs_a_recently_used_connection() {
    // A peer may close an idle connection just when a request is written to it, and the caller
    // can't know whether the request ran. A recently used connection shouldn't be about to be
    // closed.
    let lines = responses_on_idle_connection(RetryPolicy::Never);
    assert_eq!(lines, ["200 first", "200 again", "200 fresh"]);
}

#[test]
fn an_idempotent_request_uses_any_open_connection() {
    let lines = responses_on_idle_connection(RetryPolicy::Idempotent);
    assert_eq!(lines, ["200 first", "200 again", "200 third"]);
}

#[test]
fn a_request_whose_body_ends_early_fails_at_once() {
    // After a body that ended early, the peer waits for the rest and never responds. Waiting for
    // its first byte would occupy a connection at both ends for nothing.
    let peer = Peer::start("conn\nrecv\n");
    let client = Client::new(Arc::new(SystemClock::new()), PoolLimits::default());
    let half = Body::reader(futures::io::Cursor::new("half"), Some(8));
    let request = Request::new(Method::Post, "/").body(half);
    let options = Options {
        first_byte: Duration::from_secs(30),
        total: Duration::from_mins(1),
        ..Options::default()
    };
    let begin = Instant::now();
    let end = block_on(client.send(peer.address, request, &options));
    assert_eq!(end.err(), Some(Error::MaybeSent(Cause::Closed)));
    assert!(begin.elapsed() < options.first_byte);
}

#[test]
fn an_abandoned_response_is_not_read_by_the_next_request() {
    // A request is abandoned before or within its response. The rest of the response must not be
    // read as the response to the next request.
    for received in ["", "HTTP/1.1 200 OK\\r\\ncontent-length: 5\\r\\n\\r\\nhel"] {
        let script = format!(
            "conn\nrecv\nsend {received}\nhold\n\
             conn\nrecv\nsend HTTP/1.1 200 OK\\r\\ncontent-length: 3\\r\\n\\r\\ntwo\n"
        );
        let peer = Peer::start(&script);
        let client = Client::new(Arc::new(SystemClock::new()), PoolLimits::default());
        let default_options = Options::default();
        let short_timeout = Options {
            first_byte: Duration::from_millis(100),
            ..default_options
        };
        let request = Request::new(Method::Post, "/").body(Body::bytes("question"));
        match block_on(client.send(peer.address, request, &short_timeout)) {
            // The response is dropped with part of its body unread.
            Ok(mut response) => drop(block_on(response.body.piece()).unwrap()),
            Err(err) => assert_eq!(err, Error::MaybeSent(Cause::Timeout)),
        }
        let line = block_on(send_request(
            &client,
            peer.address,
            Method::Post,
            &default_options,
        ));
        assert_eq!(line, "200 two", "after {received:?}");
    }
}

/// Guards against a success whose head broke off: the rest of the head might have framed its body.
#[test]
fn a_response_whose_head_breaks_off_is_an_error() {
    for framing in [
        "content-length: 4\r\n",
        "transfer-encoding: chunked\r\n",
        "",
    ] {
        let head = format!("HTTP/1.1 200 OK\r\n{framing}x-more: 1\r\n\r\n");
        for len in 0..head.len() {
            for read in ["recv", "recv-part"] {
                let sent = head[..len].escape_default();
                let peer = Peer::start(&format!("conn\n{read}\nsend {sent}\n"));
                let client = Client::new(Arc::new(SystemClock::new()), PoolLimits::default());
                let request = Request::new(Method::Post, "/").body(Body::bytes(vec![b'x'; 500]));
                let line = block_on(send(&client, peer.address, request, &Options::default()));
                let is_error = line.starts_with("MaybeSent(") || line.starts_with("Cut(");
                assert!(is_error, "{read} {sent}: {line}");
            }
        }
    }
}
