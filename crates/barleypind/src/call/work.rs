//! The request of a call.

use std::sync::Arc;

use decide::policy::Repeat;
use engine::Attempt;
use futures::stream::BoxStream;
use gate::chat::Mode;
use http::{Body, Headers, Method};
use kernel::{ProfileName, ServiceName, VersionId};
use serde_json::Value;

use super::attempt::{self, Progress, Times};

/// Headers of the caller's connection, of this system or of the caller's authentication. They
/// aren't forwarded.
const OWN_HEADERS: [&str; 13] = [
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
    pub(crate) repeat: Repeat,
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
    pub(crate) repeat: Repeat,
}

impl Work {
    pub(crate) fn repeat(&self) -> Repeat {
        match self {
            Self::Chat(chat) => chat.repeat,
            Self::Plain(plain) => plain.repeat,
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

    fn is_whole_and_short(&self) -> bool {
        matches!(self, Self::Chat(chat)
            if chat.mode == Mode::Whole && chat.max_tokens <= attempt::SHORT)
    }

    /// Returns a new attempt, which starts when it is first polled.
    pub(crate) fn attempt(
        &self,
        client: &engine::Client,
        to: engine::Endpoint,
        name: Attempt,
        version: Option<VersionId>,
        times: Times,
    ) -> BoxStream<'static, Progress> {
        match (self, version) {
            (Self::Chat(chat), Some(model)) => {
                let chat = engine::Chat {
                    model,
                    messages: Arc::clone(&chat.messages),
                    max_tokens: Some(chat.max_tokens.into()),
                    class: Arc::clone(&chat.class),
                };
                if self.is_whole_and_short() {
                    attempt::whole(client.clone(), to, name, chat, times)
                } else {
                    attempt::chat(client.clone(), to, name, chat, times)
                }
            }
            (Self::Plain(plain), _) => {
                let call = engine::Call {
                    method: plain.method,
                    target: plain.target.clone(),
                    headers: plain.headers.clone(),
                    body: Body::bytes(plain.body.to_vec()),
                };
                attempt::plain(client.clone(), to, name, call, times)
            }
            (Self::Chat(_), None) => attempt::impossible(),
        }
    }
}

/// Returns the caller's headers without those that aren't forwarded.
pub(crate) fn passed_on(headers: &Headers) -> Headers {
    headers
        .iter()
        .filter(|(name, _)| !OWN_HEADERS.iter().any(|own| name.eq_ignore_ascii_case(own)))
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect()
}
