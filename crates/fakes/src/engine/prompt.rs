//! The body of a chat request to an engine.

use serde::Deserialize;
use serde_json::Value;

use crate::mark::Mark;

/// Bytes of text that are counted as one token.
const BYTES_PER_TOKEN: usize = 4;

/// A chat request.
#[derive(Debug, Deserialize)]
pub(crate) struct Prompt {
    pub(crate) model: String,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default)]
    pub(crate) stream: bool,
    #[serde(default)]
    pub(crate) max_tokens: Option<u64>,
    #[serde(default = "default_class")]
    pub(crate) class: String,
}

#[derive(Debug, Deserialize)]
struct Message {
    #[serde(default)]
    content: Value,
}

impl Prompt {
    /// Returns the caller's name for its call, from the newest message that has one.
    pub(crate) fn call_name(&self) -> String {
        let named = |it: &Message| {
            it.content
                .as_str()
                .and_then(Mark::call_name)
                .map(str::to_owned)
        };
        self.messages
            .iter()
            .rev()
            .find_map(named)
            .unwrap_or_default()
    }

    pub(crate) fn tokens(&self) -> u64 {
        self.messages.iter().map(Message::tokens).sum()
    }

    /// Returns the prefixes of the conversation that end with a message, the longest last: the
    /// token count, and the model's name followed by the text.
    pub(crate) fn prefixes(&self) -> Vec<(u64, String)> {
        let mut tokens = 0;
        let mut text = self.model.clone();
        let mut prefixes = Vec::new();
        for message in &self.messages {
            tokens += message.tokens();
            text.push('\n');
            text.push_str(message.content.as_str().unwrap_or_default());
            prefixes.push((tokens, text.clone()));
        }
        prefixes
    }
}

impl Message {
    fn tokens(&self) -> u64 {
        let bytes = self.content.as_str().map_or(0, str::len);
        bytes.div_ceil(BYTES_PER_TOKEN) as u64
    }
}

fn default_class() -> String {
    "general".to_owned()
}
