//! Chat completion requests to engines.

use std::sync::Arc;

use kernel::VersionId;
use serde::Serialize;
use serde_json::Value;

/// A chat completion request.
#[derive(Clone, Debug, Serialize)]
pub struct Chat {
    /// The version that generates the response.
    pub model: VersionId,
    /// The caller's messages, unchanged. They can be long and are shared by all attempts.
    pub messages: Arc<Value>,
    /// The maximum number of tokens to generate.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u64>,
    /// The request's class.
    pub class: Arc<str>,
}

/// The JSON body of a chat request: the fields of [`Chat`] and `stream`.
#[derive(Serialize)]
pub(crate) struct RequestBody<'a> {
    #[serde(flatten)]
    pub(crate) chat: &'a Chat,
    pub(crate) stream: bool,
}
