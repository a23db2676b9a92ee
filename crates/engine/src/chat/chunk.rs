//! JSON types of streamed and unstreamed responses.

use std::borrow::Cow;

use serde::Deserialize;

use super::{Answer, Fault, Usage};

/// One chunk of a streamed response.
#[derive(Debug, Deserialize)]
pub(crate) struct Chunk<'a> {
    #[serde(borrow)]
    pub(crate) id: Cow<'a, str>,
    pub(crate) index: u64,
    #[serde(borrow, default)]
    choices: Vec<Choice<'a>>,
    #[serde(borrow, default)]
    finish_reason: Option<Cow<'a, str>>,
    pub(crate) usage: Option<Usage>,
    pub(crate) confidence: Option<f64>,
}

#[derive(Debug, Deserialize)]
struct Choice<'a> {
    #[serde(borrow, default)]
    delta: Delta<'a>,
    #[serde(borrow, default)]
    finish_reason: Option<Cow<'a, str>>,
}

#[derive(Debug, Default, Deserialize)]
struct Delta<'a> {
    #[serde(borrow, default)]
    content: Option<Cow<'a, str>>,
}

impl Chunk<'_> {
    pub(crate) fn content(&self) -> &str {
        self.choices
            .first()
            .and_then(|it| it.delta.content.as_deref())
            .unwrap_or_default()
    }

    pub(crate) fn finish_reason(&self) -> Option<&str> {
        self.choices
            .first()
            .and_then(|it| it.finish_reason.as_deref())
            .or(self.finish_reason.as_deref())
    }
}

/// A response that isn't streamed.
#[derive(Debug, Deserialize)]
pub(crate) struct UnstreamedResponse {
    id: String,
    choices: Vec<UnstreamedChoice>,
    #[serde(default)]
    finish_reason: Option<String>,
    usage: Usage,
    confidence: Option<f64>,
}

#[derive(Debug, Deserialize)]
struct UnstreamedChoice {
    message: Message,
    #[serde(default)]
    finish_reason: Option<String>,
}

#[derive(Debug, Deserialize)]
struct Message {
    content: String,
}

impl UnstreamedResponse {
    pub(crate) fn into_answer(self, attempt: &str) -> Result<Answer, Fault> {
        if self.id != attempt {
            return Err(Fault::Foreign);
        }
        let choice = self.choices.into_iter().next().ok_or(Fault::Malformed)?;
        let finish_reason = choice.finish_reason.or(self.finish_reason);
        Ok(Answer {
            content: choice.message.content,
            finish_reason: finish_reason.ok_or(Fault::Unfinished)?,
            usage: self.usage,
            confidence: check_confidence(self.confidence)?,
        })
    }
}

/// Rejects a confidence outside 0 to 1, which would pass or fail every threshold.
pub(crate) fn check_confidence(value: Option<f64>) -> Result<Option<f64>, Fault> {
    match value {
        Some(it) if !(0.0..=1.0).contains(&it) => Err(Fault::Malformed),
        it => Ok(it),
    }
}
