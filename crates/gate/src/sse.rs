//! A streamed answer as server-sent events.

use kernel::VersionId;
use serde::Serialize;

use crate::chat::{Extra, Usage};
use crate::problem::Problem;

/// The media type of a stream.
pub const MEDIA_TYPE: &str = "text/event-stream";

/// The mark after the last chunk: whoever reads it has the whole answer.
pub const END: &str = "data: [DONE]\n\n";

/// Builds the events of one answer.
#[derive(Clone, Debug)]
pub struct Stream {
    request: String,
    created: u64,
    version: VersionId,
}

impl Stream {
    /// An answer to `request` by `version`, begun at `created` (seconds since
    /// the Unix epoch).
    #[must_use]
    pub fn new(request: String, created: u64, version: VersionId) -> Self {
        Self {
            request,
            created,
            version,
        }
    }

    /// One piece of the answer.
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

    /// The last chunk: why the answer ended and what it cost. [`END`] follows it.
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
            id: &self.request,
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
        let json = serde_json::to_string(&chunk).expect("a chunk holds only text and numbers");
        format!("data: {json}\n\n")
    }
}

/// The end of a stream that can't be finished. [`END`] never follows it.
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
