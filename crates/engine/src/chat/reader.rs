//! Incremental validation of streamed responses.

use super::chunk::{Chunk, check_confidence};
use super::{Answer, Fault, Usage};
use crate::sse::{Event, Parser};

/// The maximum size of the generated text, in bytes.
const MAX_CONTENT_BYTES: usize = 32 * 1024 * 1024;
const END_MARKER: &str = "[DONE]";

/// The progress of a streamed response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The end marker hasn't arrived yet.
    Incomplete,
    /// The end marker has arrived.
    Done,
}

/// An incremental reader of a streamed response. It rejects chunks of other attempts,
/// chunks out of order and incomplete responses.
#[derive(Debug)]
pub struct Reader {
    parser: Parser,
    state: ResponseState,
}

#[derive(Debug)]
struct ResponseState {
    attempt: String,
    next_index: u64,
    content: String,
    finish: Option<Finish>,
    done: bool,
}

#[derive(Debug)]
struct Finish {
    reason: String,
    usage: Usage,
    confidence: Option<f64>,
}

impl Reader {
    /// Creates a reader of the response to the attempt with the given wire id.
    #[must_use]
    pub fn new(attempt: impl Into<String>) -> Self {
        Self {
            parser: Parser::default(),
            state: ResponseState {
                attempt: attempt.into(),
                next_index: 0,
                content: String::new(),
                finish: None,
                done: false,
            },
        }
    }

    /// Parses the next bytes and appends their text to [`Reader::content`], including
    /// text that precedes a fault.
    ///
    /// # Errors
    /// Returns the first [`Fault`]. Don't call `feed` again after an error.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Progress, Fault> {
        let Self { parser, state } = self;
        parser.feed(bytes, |event| state.handle_event(event))?;
        Ok(self.progress())
    }

    /// Returns whether the end marker has arrived.
    #[must_use]
    pub fn progress(&self) -> Progress {
        if self.state.done {
            Progress::Done
        } else {
            Progress::Incomplete
        }
    }

    /// Returns the text received so far.
    #[must_use]
    pub fn content(&self) -> &str {
        &self.state.content
    }

    /// Returns the number of chunks received so far.
    #[must_use]
    pub fn chunks(&self) -> u64 {
        self.state.next_index
    }

    /// Returns the complete response. Call it after the last byte.
    ///
    /// # Errors
    /// Returns [`Fault::Unfinished`] if the end marker hasn't arrived.
    pub fn finish(self) -> Result<Answer, Fault> {
        let ResponseState {
            content,
            finish,
            done,
            ..
        } = self.state;
        match finish {
            Some(finish) if done => Ok(Answer {
                content,
                finish_reason: finish.reason,
                usage: finish.usage,
                confidence: finish.confidence,
            }),
            _ => Err(Fault::Unfinished),
        }
    }
}

impl ResponseState {
    fn handle_event(&mut self, event: Event<'_>) -> Result<(), Fault> {
        match event.name {
            "" | "message" => {}
            "error" => return Err(Fault::Failed),
            _ => return Err(Fault::Malformed),
        }
        if self.done {
            return Err(Fault::Disordered);
        }
        if event.data == END_MARKER {
            if self.finish.is_none() {
                return Err(Fault::Unfinished);
            }
            self.done = true;
            return Ok(());
        }
        let chunk = serde_json::from_str(event.data).map_err(|_| Fault::Malformed)?;
        self.add_chunk(&chunk)
    }

    fn add_chunk(&mut self, chunk: &Chunk<'_>) -> Result<(), Fault> {
        if chunk.id != self.attempt {
            return Err(Fault::Foreign);
        }
        if chunk.index != self.next_index || self.finish.is_some() {
            return Err(Fault::Disordered);
        }
        let content = chunk.content();
        if self.content.len() + content.len() > MAX_CONTENT_BYTES {
            return Err(Fault::TooLarge);
        }
        if let Some(reason) = chunk.finish_reason() {
            self.finish = Some(Finish {
                reason: reason.to_owned(),
                usage: chunk.usage.ok_or(Fault::Malformed)?,
                confidence: check_confidence(chunk.confidence)?,
            });
        }
        self.next_index += 1;
        self.content.push_str(content);
        Ok(())
    }
}
