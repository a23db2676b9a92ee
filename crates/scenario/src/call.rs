//! A call by a caller and its outcome as a line of text.

use std::net::SocketAddr;
use std::time::Duration;

use fakes::Mark;
use http::{Method, Request};
use serde_json::{Value, json};

use crate::client::{Client, Response};
use crate::command::Arguments;
use crate::defaults::{CUSTOMER, KEY_PREFIX};

/// A prepared call.
pub(crate) struct Call {
    pub(crate) to: SocketAddr,
    pub(crate) timeout: Duration,
    pub(crate) request: Request,
    kind: CallKind,
}

/// The outcome of a call.
pub(crate) struct Outcome {
    /// The outcome as text, for the golden files.
    pub(crate) line: String,
    /// The session token of the response.
    pub(crate) session: Option<String>,
    /// The caller's name for its call, as it stands in the response.
    pub(crate) call: Option<String>,
}

#[derive(Clone, Copy)]
enum CallKind {
    Chat,
    Stream,
    Plain,
}

impl Call {
    /// Prepares the call that the arguments describe: with `path=` to a plain service, else a chat
    /// request with `profile=`.
    pub(crate) fn new(
        args: &Arguments<'_>,
        to: SocketAddr,
        ticket: Option<String>,
        session: Option<String>,
    ) -> Self {
        let customer = args.optional("customer").unwrap_or(CUSTOMER);
        let (kind, request) = match args.path() {
            Some(path) => (CallKind::Plain, plain(args, &path)),
            None if args.has("stream") => (CallKind::Stream, chat(args, true)),
            None => (CallKind::Chat, chat(args, false)),
        };
        let mut request = request.header("authorization", format!("Bearer {KEY_PREFIX}{customer}"));
        if let Some(key) = args.optional("key") {
            request = request.header("idempotency-key", key);
        }
        if let Some(ticket) = ticket {
            request = request.header("barleypin-ticket", ticket);
        }
        if let Some(session) = session {
            request = request.header("barleypin-session", session);
        }
        if let Some(deadline) = args.optional("deadline_ms") {
            request = request.header("barleypin-deadline-ms", deadline);
        }
        Self {
            to,
            timeout: Duration::from_millis(args.parsed("patience_ms", 20_000)),
            request,
            kind,
        }
    }

    /// Makes the call and waits for its outcome.
    pub(crate) async fn perform(self, client: Client) -> Outcome {
        match client.send(self.to, self.request, self.timeout).await {
            Ok(response) if response.status.is_success() => success_outcome(self.kind, &response),
            Ok(response) => Outcome {
                line: refusal_line(u16::from(response.status), &response.json()),
                session: None,
                call: None,
            },
            Err(_) => Outcome {
                line: "no answer".to_owned(),
                session: None,
                call: None,
            },
        }
    }
}

/// Returns the caller's name for its call, under which the stand-ins record it.
fn call_name<'a>(args: &Arguments<'a>) -> &'a str {
    let named = args.optional("called").or_else(|| args.optional("key"));
    named.unwrap_or("unnamed")
}

fn chat(args: &Arguments<'_>, stream: bool) -> Request {
    let call = call_name(args);
    let prompt = "x".repeat(args.parsed("prompt_bytes", 5));
    let body = json!({
        "model": args.required("profile"),
        "class": args.optional("class").unwrap_or("general"),
        "stream": stream,
        "max_tokens": 64,
        "messages": [{"role": "user", "content": format!("[[call={call}]] {prompt}")}],
    });
    Request::post("/v1/chat/completions", &body)
}

fn plain(args: &Arguments<'_>, path: &str) -> Request {
    let call = call_name(args);
    let service = args.optional("service").unwrap_or("seats");
    let target = format!("/services/{service}/{path}");
    match args.optional("method").unwrap_or("POST") {
        "GET" => Request::get(format!("{target}?call={call}")),
        _ => Request::new(Method::Post, target).json(&json!({"call": call, "seats": 2})),
    }
}

fn success_outcome(kind: CallKind, response: &Response) -> Outcome {
    let header = |name| response.headers.get(name).map(str::to_owned);
    let session = header("barleypin-session");
    let moved = header("barleypin-session-moved");
    match kind {
        CallKind::Plain => Outcome {
            line: format!("200 execution={}", response.json()["execution"]),
            session,
            call: response.json()["call"].as_str().map(str::to_owned),
        },
        CallKind::Chat => {
            let body = response.json();
            let text = body["choices"][0]["message"]["content"].as_str();
            let version = header("barleypin-version").unwrap_or_default();
            let line = chat_line(&version, text.unwrap_or_default(), moved);
            let call = marked_call(text.unwrap_or_default());
            Outcome {
                line,
                session,
                call,
            }
        }
        CallKind::Stream => stream_outcome(&response.body, moved, session),
    }
}

fn chat_line(version: &str, text: &str, moved: Option<String>) -> String {
    let whole = if Mark::is_whole(text) { "yes" } else { "NO" };
    let marked_version = Mark::parse(text).map(|it| it.version).unwrap_or_default();
    let mismatch = if marked_version == version {
        ""
    } else {
        " WRONG-VERSION"
    };
    let moved = moved.map(|it| format!(" moved={it}")).unwrap_or_default();
    format!("200 version={version} whole={whole}{mismatch}{moved}")
}

/// Returns the caller's name for its call from the engine's mark.
fn marked_call(text: &str) -> Option<String> {
    Mark::parse(text).map(|it| it.call)
}

fn stream_outcome(body: &[u8], moved: Option<String>, session: Option<String>) -> Outcome {
    let body = String::from_utf8_lossy(body);
    let mut text = String::new();
    let mut version = String::new();
    let mut session = session;
    for event in body.split("\n\n") {
        let data = event.lines().find_map(|it| it.strip_prefix("data: "));
        let Some(data) = data else { continue };
        let chunk: Value = serde_json::from_str(data).unwrap_or_default();
        if event.lines().any(|it| it == "event: error") {
            let line = format!("cut {}", refusal_line(0, &chunk));
            return Outcome {
                line,
                session,
                call: None,
            };
        }
        if data == "[DONE]" {
            return Outcome {
                line: chat_line(&version, &text, moved),
                session,
                call: marked_call(&text),
            };
        }
        if let Some(piece) = chunk["choices"][0]["delta"]["content"].as_str() {
            text.push_str(piece);
        }
        if let Some(it) = chunk["barleypin"]["version"].as_str() {
            it.clone_into(&mut version);
        }
        if let Some(it) = chunk["barleypin"]["session"].as_str() {
            session = Some(it.to_owned());
        }
    }
    Outcome {
        line: "cut without a word".to_owned(),
        session,
        call: None,
    }
}

fn refusal_line(status: u16, problem: &Value) -> String {
    let field = |name: &str| problem[name].as_str().unwrap_or("?").to_owned();
    let retry = if problem["retry_after_ms"].is_null() {
        ""
    } else {
        " retry-later"
    };
    let status = match status {
        0 => String::new(),
        status => format!(" {status}"),
    };
    format!(
        "refused{status} {} {}{retry}",
        field("reason"),
        field("run")
    )
}
