//! Responses to retries of a call that has run.

use gate::chat::{Answer, Mode};
use gate::sse;
use http::{Body, Headers, Response};
use ledger::Outcome;

use super::work::Work;
use super::{Call, caller};
use crate::host::Host;
use crate::reply::{self, header};

/// Returns a response with the stored `outcome`. Nothing runs and nothing is billed; the cost
/// shown is that of the first run.
pub(crate) fn response(host: &Host, call: &Call, work: &Work, outcome: &Outcome) -> Response {
    let answer = match work {
        Work::Chat(_) => serde_json::from_str::<Answer>(&outcome.body).ok(),
        Work::Plain(_) => None,
    };
    let mut response = match (&answer, work) {
        (Some(answer), Work::Chat(chat)) if chat.mode == Mode::Stream => stream(answer),
        _ => unstreamed(outcome),
    };
    let mut headers: Headers = [
        (header::REQUEST, call.request.to_string()),
        (header::HOST, host.settings.host.name.to_string()),
        (
            header::REVISION,
            host.current_config.get().revision().to_string(),
        ),
    ]
    .into_iter()
    .collect();
    if let Some(answer) = &answer {
        headers.set(header::VERSION, answer.model.as_str());
        headers.set(header::COST, answer.barleypin.cost_microcents.to_string());
        headers.set(header::ATTEMPTS, answer.barleypin.attempts.to_string());
    }
    caller::add_headers(&mut response, &headers);
    response
}

fn unstreamed(outcome: &Outcome) -> Response {
    let mut response = Response::new(reply::status_of(outcome.status))
        .body(Body::bytes(outcome.body.as_bytes().to_vec()));
    if !outcome.media_type.is_empty() {
        response
            .headers
            .set("content-type", outcome.media_type.to_string());
    }
    response
}

fn stream(answer: &Answer) -> Response {
    let events = sse::Stream::new(answer.id.clone(), answer.created, answer.model.clone());
    let mut text = String::new();
    for choice in &answer.choices {
        text.push_str(&events.chunk(&choice.message.content));
        text.push_str(&events.last(&choice.finish_reason, answer.usage, &answer.barleypin));
    }
    text.push_str(sse::END);
    Response::new(http::Status::Ok)
        .header("content-type", sse::MEDIA_TYPE)
        .body(Body::bytes(text))
}
