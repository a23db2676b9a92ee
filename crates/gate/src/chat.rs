//! Chat completions: the caller's request and the complete response.

use std::sync::Arc;

use derive_more::Display;
use kernel::{Money, ProfileName, VersionId};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::problem::{Problem, Reason};

/// The class of a request that sets none.
pub const DEFAULT_CLASS: &str = "general";

const MAX_PROFILE_OR_CLASS_BYTES: usize = 64;

/// Fields that change the meaning of the response and that aren't supported. If
/// they were ignored, the response wouldn't match the request.
const UNSUPPORTED_FIELDS: [&str; 6] = [
    "tools",
    "functions",
    "response_format",
    "logprobs",
    "audio",
    "modalities",
];

/// Limits on a request.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of messages.
    pub messages: usize,
    /// Maximum total size of the messages' content in bytes.
    pub content: usize,
    /// Maximum number of tokens that a caller may request.
    pub max_tokens: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            messages: 512,
            content: 2 * 1024 * 1024,
            max_tokens: 32_768,
        }
    }
}

/// The author of a message.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Instructions to the model; the role `developer` of a request becomes this one.
    #[display("system")]
    System,
    /// The person or service that makes the request.
    #[display("user")]
    User,
    /// A response of the model.
    #[display("assistant")]
    Assistant,
}

/// One message of a conversation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The author of the message.
    pub role: Role,
    /// The text of the message.
    pub content: String,
}

/// The form in which the response is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// As server-sent events.
    Stream,
    /// As one JSON object.
    Whole,
}

/// A caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The profile that the caller selected by name.
    pub profile: ProfileName,
    /// The conversation, at least one message.
    pub messages: Vec<Message>,
    /// The form in which the response is sent.
    pub mode: Mode,
    /// Maximum number of tokens in the response.
    pub max_tokens: Option<u32>,
    /// The caller's label for the kind of request; the quality of responses is
    /// tracked per class. [`DEFAULT_CLASS`] if absent.
    pub class: Arc<str>,
}

impl Request {
    /// Parses a request body.
    ///
    /// Rejects any `n` other than 1 and the fields that change the meaning of the
    /// response and aren't supported, such as `tools`, unless they are null or
    /// false. All other unknown fields are ignored, because callers' libraries
    /// send sampling parameters by default.
    ///
    /// # Errors
    /// Returns a 400 problem that names the invalid field and the accepted values,
    /// or a 413 problem if the number or total size of messages exceeds its limit.
    pub fn parse(body: &[u8], limits: &Limits) -> Result<Self, Problem> {
        let body: Map<String, Value> = serde_json::from_slice(body)
            .map_err(|err| bad_request(format!("body: expected a JSON object: {err}")))?;
        reject_unsupported_fields(&body)?;
        Ok(Self {
            profile: parse_profile(&body)?,
            messages: parse_messages(&body, limits)?,
            mode: parse_mode(&body)?,
            max_tokens: parse_max_tokens(&body, limits)?,
            class: parse_class(&body)?,
        })
    }

    /// Returns the total size of the messages' content in bytes.
    #[must_use]
    pub fn content_len(&self) -> usize {
        self.messages.iter().map(|it| it.content.len()).sum()
    }
}

/// Token counts of a request and its response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens in the prompt.
    pub prompt_tokens: u64,
    /// Tokens in the response.
    pub completion_tokens: u64,
    /// The sum of both.
    pub total_tokens: u64,
}

/// The extension fields that this system adds to a response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Extra {
    /// The version that produced the response.
    pub version: VersionId,
    /// The amount billed to the customer, for all billable attempts.
    pub cost_microcents: Money,
    /// The number of attempts dispatched.
    pub attempts: u32,
    /// The request id that the host assigned.
    pub request: String,
}

/// A complete response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The request id that the host assigned.
    pub id: String,
    /// Always `chat.completion`.
    pub object: String,
    /// Wall time in seconds since the Unix epoch.
    pub created: u64,
    /// The version that produced the response.
    pub model: VersionId,
    /// Always one choice.
    pub choices: Vec<Choice>,
    /// Token counts of the attempt that produced the response.
    pub usage: Usage,
    /// The extension fields of this system.
    pub barleypin: Extra,
}

/// The choice in an [`Answer`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Choice {
    /// Always zero.
    pub index: u32,
    /// The generated message.
    pub message: Message,
    /// The reason why generation ended.
    pub finish_reason: String,
}

impl Answer {
    /// Builds a response with one choice.
    #[must_use]
    pub fn new(created: u64, content: String, finish: &str, usage: Usage, extra: Extra) -> Self {
        Self {
            id: extra.request.clone(),
            object: "chat.completion".to_owned(),
            created,
            model: extra.version.clone(),
            choices: vec![Choice {
                index: 0,
                message: Message {
                    role: Role::Assistant,
                    content,
                },
                finish_reason: finish.to_owned(),
            }],
            usage,
            barleypin: extra,
        }
    }

    /// Returns the response as JSON.
    #[must_use]
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("a response contains only text and numbers")
    }
}

fn reject_unsupported_fields(body: &Map<String, Value>) -> Result<(), Problem> {
    for field in UNSUPPORTED_FIELDS {
        let is_set = body
            .get(field)
            .is_some_and(|value| !matches!(value, Value::Null | Value::Bool(false)));
        if is_set {
            return Err(bad_request(format!(
                "{field}: is not supported; leave it out"
            )));
        }
    }
    match body.get("n") {
        None | Some(Value::Null) => Ok(()),
        Some(value) if value.as_u64() == Some(1) => Ok(()),
        Some(_) => Err(bad_request("n: expected 1".to_owned())),
    }
}

fn parse_profile(body: &Map<String, Value>) -> Result<ProfileName, Problem> {
    body.get("model")
        .and_then(Value::as_str)
        .filter(|name| !name.is_empty() && name.len() <= MAX_PROFILE_OR_CLASS_BYTES)
        .map(ProfileName::from)
        .ok_or_else(|| bad_request("model: expected the name of a profile".to_owned()))
}

fn parse_messages(body: &Map<String, Value>, limits: &Limits) -> Result<Vec<Message>, Problem> {
    let messages = body
        .get("messages")
        .and_then(Value::as_array)
        .filter(|messages| !messages.is_empty())
        .ok_or_else(|| {
            bad_request("messages: expected an array of at least one message".to_owned())
        })?;
    if messages.len() > limits.messages {
        return Err(too_large(format!(
            "messages: {} messages, at most {} are accepted",
            messages.len(),
            limits.messages
        )));
    }
    let messages = messages
        .iter()
        .enumerate()
        .map(|(idx, message)| parse_message(idx, message))
        .collect::<Result<Vec<_>, _>>()?;
    let content: usize = messages.iter().map(|it| it.content.len()).sum();
    if content > limits.content {
        return Err(too_large(format!(
            "messages: {content} bytes of content, at most {} are accepted",
            limits.content
        )));
    }
    Ok(messages)
}

fn parse_message(idx: usize, message: &Value) -> Result<Message, Problem> {
    let role = match message.get("role").and_then(Value::as_str) {
        Some("system" | "developer") => Role::System,
        Some("user") => Role::User,
        Some("assistant") => Role::Assistant,
        _ => {
            return Err(bad_request(format!(
                "messages[{idx}].role: expected `system`, `user` or `assistant`"
            )));
        }
    };
    let content = match message.get("content") {
        Some(Value::String(text)) => text.clone(),
        Some(Value::Array(parts)) => parse_parts(idx, parts)?,
        _ => {
            return Err(bad_request(format!(
                "messages[{idx}].content: expected text or an array of text parts"
            )));
        }
    };
    Ok(Message { role, content })
}

fn parse_parts(idx: usize, parts: &[Value]) -> Result<String, Problem> {
    let mut content = String::new();
    for (part_idx, part) in parts.iter().enumerate() {
        let text = part
            .get("text")
            .and_then(Value::as_str)
            .filter(|_| part.get("type").and_then(Value::as_str) == Some("text"))
            .ok_or_else(|| {
                bad_request(format!(
                    "messages[{idx}].content[{part_idx}]: expected a part of type `text`"
                ))
            })?;
        content.push_str(text);
    }
    Ok(content)
}

fn parse_mode(body: &Map<String, Value>) -> Result<Mode, Problem> {
    match body.get("stream") {
        None | Some(Value::Null | Value::Bool(false)) => Ok(Mode::Whole),
        Some(Value::Bool(true)) => Ok(Mode::Stream),
        Some(_) => Err(bad_request("stream: expected `true` or `false`".to_owned())),
    }
}

/// Parses the token limit. `max_tokens` takes precedence; `max_completion_tokens`
/// is read only if it is absent or null.
fn parse_max_tokens(body: &Map<String, Value>, limits: &Limits) -> Result<Option<u32>, Problem> {
    for field in ["max_tokens", "max_completion_tokens"] {
        let Some(value) = body.get(field).filter(|value| !value.is_null()) else {
            continue;
        };
        return value
            .as_u64()
            .and_then(|tokens| u32::try_from(tokens).ok())
            .filter(|tokens| (1..=limits.max_tokens).contains(tokens))
            .map(Some)
            .ok_or_else(|| {
                bad_request(format!(
                    "{field}: expected a whole number from 1 to {}",
                    limits.max_tokens
                ))
            });
    }
    Ok(None)
}

fn parse_class(body: &Map<String, Value>) -> Result<Arc<str>, Problem> {
    match body.get("class") {
        None | Some(Value::Null) => Ok(DEFAULT_CLASS.into()),
        Some(Value::String(class)) if is_valid_class(class) => Ok(class.as_str().into()),
        Some(_) => Err(bad_request(
            "class: expected 1 to 64 of the characters a-z, 0-9, `-` and `_`".to_owned(),
        )),
    }
}

fn is_valid_class(text: &str) -> bool {
    (1..=MAX_PROFILE_OR_CLASS_BYTES).contains(&text.len())
        && text
            .bytes()
            .all(|it| it.is_ascii_lowercase() || it.is_ascii_digit() || it == b'-' || it == b'_')
}

fn bad_request(detail: String) -> Problem {
    Problem::not_run(Reason::BadRequest, detail)
}

fn too_large(detail: String) -> Problem {
    Problem::not_run(Reason::TooLarge, detail)
}
