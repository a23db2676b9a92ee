//! A whole answer.

use serde::Deserialize;

/// An answer that came whole.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// The text.
    pub content: String,
    /// Why the engine ended: `stop`, `length`.
    pub finish_reason: String,
    /// What it used.
    pub usage: Usage,
    /// How sure the engine is of it, from 0 to 1.
    pub confidence: Option<f64>,
}

/// What an answer used.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the answer.
    pub completion_tokens: u64,
}
