//! A chat request to an engine.

use std::sync::Arc;

use kernel::VersionId;
use serde::Serialize;
use serde_json::Value;

/// What an engine is asked.
#[derive(Clone, Debug, Serialize)]
pub struct Chat {
    /// The version that is to answer.
    pub model: VersionId,
    /// The messages as the caller sent them. Shared: a dossier is long, and
    /// each attempt carries it.
    pub messages: Arc<Value>,
    /// The greatest number of tokens to answer with.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u64>,
    /// The request's class.
    pub class: Arc<str>,
}

/// The body on the wire.
#[derive(Serialize)]
pub(crate) struct Wire<'a> {
    #[serde(flatten)]
    pub(crate) chat: &'a Chat,
    pub(crate) stream: bool,
}
