//! Parser of streamed responses (server-sent events).

use gate::problem::Problem;
use serde_json::Value;

use crate::caller::{CallResponse, Outcome, Refusal};

/// Parses the events of a stream that has ended. A stream with neither `[DONE]` nor an
/// error event was cut off and counts as failed.
#[must_use]
pub fn parse_stream(body: &[u8], mut response: CallResponse) -> Outcome {
    let text = String::from_utf8_lossy(body);
    for event in text.split("\n\n") {
        let data = event.lines().find_map(|it| it.strip_prefix("data: "));
        let Some(data) = data else { continue };
        if event.lines().any(|it| it == "event: error") {
            return parse_error(data);
        }
        if data == "[DONE]" {
            return Outcome::Completed(response);
        }
        if let Ok(chunk) = serde_json::from_str::<Value>(data) {
            apply_chunk(&chunk, &mut response);
        }
    }
    Outcome::Failed("the stream ended without [DONE]".to_owned())
}

fn apply_chunk(chunk: &Value, response: &mut CallResponse) {
    if let Some(text) = chunk["choices"][0]["delta"]["content"].as_str() {
        response.text.push_str(text);
    }
    let metadata = &chunk["barleypin"];
    if let Some(version) = metadata["version"].as_str() {
        version.clone_into(&mut response.version);
    }
    if let Some(cost) = metadata["cost_microcents"].as_u64() {
        response.cost_microcents = Some(cost);
    }
    if let Some(session) = metadata["session"].as_str() {
        response.session = Some(session.to_owned());
    }
}

fn parse_error(data: &str) -> Outcome {
    match serde_json::from_str::<Problem>(data) {
        Ok(it) => Outcome::Refused(Refusal {
            request: it.request,
            reason: it.reason,
            run: it.run,
            retry_after: None,
        }),
        Err(err) => Outcome::Failed(format!("the error event of the stream is invalid: {err}")),
    }
}
