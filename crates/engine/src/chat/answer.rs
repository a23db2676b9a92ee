//! A complete chat response.

use serde::Deserialize;

/// A complete response of an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// The generated text.
    pub content: String,
    /// The reason why generation ended, for example `stop` or `length`.
    pub finish_reason: String,
    /// The token usage.
    pub usage: Usage,
    /// The engine's confidence in the response, from 0 to 1.
    pub confidence: Option<f64>,
}

/// Token usage of a request.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
pub struct Usage {
    /// The number of tokens in the prompt.
    pub prompt_tokens: u64,
    /// The number of generated tokens.
    pub completion_tokens: u64,
}
