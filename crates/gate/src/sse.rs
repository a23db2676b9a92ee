//! Streamed responses as server-sent events.

use kernel::VersionId;
use serde::Serialize;

use crate::chat::{Extra, Usage};
use crate::problem::Problem;

/// The media type of a stream.
pub const MEDIA_TYPE: &str = "text/event-stream";

/// The event after the last chunk, which marks the response as complete.
pub const END: &str = "data: [DONE]\n\n";

/// Builds the events of one response.
#[derive(Clone, Debug)]
pub struct Stream {
    request_id: String,
    created: u64,
    version: VersionId,
}

impl Stream {
    /// Creates the builder for a response to `request_id` by `version` that started
    /// at `created` (seconds since the Unix epoch).
    #[must_use]
    pub fn new(request_id: String, created: u64, version: VersionId) -> Self {
        Self {
            request_id,
            created,
            version,
        }
    }

    /// Returns the event for one piece of the content.
    #[must_use]
    pub fn chunk(&self, content: &str) -> String {
        self.event(
            Delta {
                content: Some(content),
            },
            None,
            None,
            None,
        )
    }

    /// Returns the last chunk, with the finish reason, the token usage and the
    /// extra fields. [`END`] follows it.
    #[must_use]
    pub fn last(&self, finish: &str, usage: Usage, extra: &Extra) -> String {
        self.event(
            Delta { content: None },
            Some(finish),
            Some(usage),
            Some(extra),
        )
    }

    fn event(
        &self,
        delta: Delta<'_>,
        finish: Option<&str>,
        usage: Option<Usage>,
        extra: Option<&Extra>,
    ) -> String {
        let chunk = Chunk {
            id: &self.request_id,
            object: "chat.completion.chunk",
            created: self.created,
            model: &self.version,
            choices: [Choice {
                index: 0,
                delta,
                finish_reason: finish,
            }],
            usage,
            barleypin: extra,
        };
        let json = serde_json::to_string(&chunk).expect("a chunk contains only text and numbers");
        format!("data: {json}\n\n")
    }
}

/// Returns the event that ends a stream which can't be completed. [`END`] never
/// follows it.
#[must_use]
pub fn error(problem: &Problem) -> String {
    format!("event: error\ndata: {}\n\n", problem.to_json())
}

#[derive(Serialize)]
struct Chunk<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a VersionId,
    choices: [Choice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
    #[serde(skip_serializing_if = "Option::is_none")]
    barleypin: Option<&'a Extra>,
}

#[derive(Serialize)]
struct Choice<'a> {
    index: u32,
    delta: Delta<'a>,
    finish_reason: Option<&'a str>,
}

#[derive(Serialize)]
struct Delta<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<&'a str>,
}
