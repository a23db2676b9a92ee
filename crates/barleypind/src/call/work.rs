//! The request of a call.

use std::sync::Arc;

use decide::policy::RetryPolicy;
use engine::Attempt;
use futures::stream::BoxStream;
use gate::chat::Mode;
use http::{Body, Headers, Method};
use kernel::{ProfileName, ServiceName, VersionId};
use serde_json::Value;

use super::attempt::{self, Progress, Timeouts};

/// Headers of the caller's connection or authentication, and those with the caller's ticket and
/// session. They aren't forwarded.
const UNFORWARDED_HEADERS: [&str; 13] = [
    "authorization",
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    "barleypin-ticket",
    "barleypin-session",
];

/// The request of a call.
#[derive(Clone, Debug)]
pub(crate) enum Work {
    Chat(Chat),
    Plain(Plain),
}

/// A chat completion.
#[derive(Clone, Debug)]
pub(crate) struct Chat {
    pub(crate) profile: ProfileName,
    pub(crate) mode: Mode,
    pub(crate) messages: Arc<Value>,
    pub(crate) prompt: Arc<str>,
    pub(crate) max_tokens: u32,
    pub(crate) class: Arc<str>,
    pub(crate) retry_policy: RetryPolicy,
    pub(crate) pin: Option<VersionId>,
}

/// A call to a plain service.
#[derive(Clone, Debug)]
pub(crate) struct Plain {
    pub(crate) service: ServiceName,
    pub(crate) method: Method,
    pub(crate) target: String,
    pub(crate) headers: Headers,
    pub(crate) body: Arc<[u8]>,
    pub(crate) retry_policy: RetryPolicy,
}

impl Work {
    pub(crate) fn retry_policy(&self) -> RetryPolicy {
        match self {
            Self::Chat(chat) => chat.retry_policy,
            Self::Plain(plain) => plain.retry_policy,
        }
    }

    pub(crate) fn profile(&self) -> Option<&ProfileName> {
        match self {
            Self::Chat(chat) => Some(&chat.profile),
            Self::Plain(_) => None,
        }
    }

    /// Returns whether the response is streamed to the caller.
    pub(crate) fn streams(&self) -> bool {
        matches!(self, Self::Chat(chat) if chat.mode == Mode::Stream)
    }

    fn is_short_unstreamed(&self) -> bool {
        matches!(self, Self::Chat(chat)
            if chat.mode == Mode::Whole && chat.max_tokens <= attempt::MAX_UNSTREAMED_TOKENS)
    }

    /// Returns a new attempt, which starts when it is first polled.
    pub(crate) fn attempt(
        &self,
        client: &engine::Client,
        to: engine::Endpoint,
        attempt: Attempt,
        version: Option<VersionId>,
        timeouts: Timeouts,
    ) -> BoxStream<'static, Progress> {
        match (self, version) {
            (Self::Chat(chat), Some(model)) => {
                let chat = engine::Chat {
                    model,
                    messages: Arc::clone(&chat.messages),
                    max_tokens: Some(chat.max_tokens.into()),
                    class: Arc::clone(&chat.class),
                };
                if self.is_short_unstreamed() {
                    attempt::chat_unstreamed(client.clone(), to, attempt, chat, timeouts)
                } else {
                    attempt::chat(client.clone(), to, attempt, chat, timeouts)
                }
            }
            (Self::Plain(plain), _) => {
                let call = engine::Call {
                    method: plain.method,
                    target: plain.target.clone(),
                    headers: plain.headers.clone(),
                    body: Body::bytes(plain.body.to_vec()),
                };
                attempt::plain(client.clone(), to, attempt, call, timeouts)
            }
            (Self::Chat(_), None) => attempt::missing_version(),
        }
    }
}

/// Returns the caller's headers without those that aren't forwarded.
pub(crate) fn forwarded_headers(headers: &Headers) -> Headers {
    headers
        .iter()
        .filter(|(name, _)| {
            !UNFORWARDED_HEADERS
                .iter()
                .any(|own| name.eq_ignore_ascii_case(own))
        })
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect()
}
