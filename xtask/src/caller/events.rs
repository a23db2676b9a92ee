//! Parser of streamed responses (server-sent events).

use gate::problem::Problem;
use serde_json::Value;

use crate::caller::{Answer, End, Refusal};

/// Parses the events of a stream that has ended. A stream with neither `[DONE]` nor an
/// error event was cut off and counts as failed.
#[must_use]
pub fn read(body: &[u8], mut answer: Answer) -> End {
    let text = String::from_utf8_lossy(body);
    for event in text.split("\n\n") {
        let data = event.lines().find_map(|it| it.strip_prefix("data: "));
        let Some(data) = data else { continue };
        if event.lines().any(|it| it == "event: error") {
            return error(data);
        }
        if data == "[DONE]" {
            return End::Answered(answer);
        }
        if let Ok(chunk) = serde_json::from_str::<Value>(data) {
            take(&chunk, &mut answer);
        }
    }
    End::Failed("the stream ended without [DONE]".to_owned())
}

fn take(chunk: &Value, answer: &mut Answer) {
    if let Some(text) = chunk["choices"][0]["delta"]["content"].as_str() {
        answer.text.push_str(text);
    }
    let last = &chunk["barleypin"];
    if let Some(version) = last["version"].as_str() {
        version.clone_into(&mut answer.version);
    }
    if let Some(cost) = last["cost_microcents"].as_u64() {
        answer.cost_microcents = Some(cost);
    }
    if let Some(session) = last["session"].as_str() {
        answer.session = Some(session.to_owned());
    }
}

fn error(data: &str) -> End {
    match serde_json::from_str::<Problem>(data) {
        Ok(it) => End::Refused(Refusal {
            request: it.request,
            reason: it.reason,
            run: it.run,
            retry_after: None,
        }),
        Err(err) => End::Failed(format!("the error event of the stream is invalid: {err}")),
    }
}
