//! The requests of a caller.

use http::{Body, Method, Request};
use serde_json::{Value, json};

use crate::caller::{CallResponse, Outcome};
use crate::workload::{Kind, Route};

/// A call to be made.
#[derive(Clone, Debug)]
pub struct PlannedCall {
    /// The caller's name for the call, also its idempotency key.
    pub name: String,
    /// The kind of work.
    pub kind: Kind,
    /// The customer who is billed.
    pub customer: &'static str,
    /// The messages of the conversation as role and text, the newest last.
    pub messages: Vec<(&'static str, String)>,
    /// The newest session token of the conversation, if any.
    pub session: Option<String>,
}

impl PlannedCall {
    /// Returns the HTTP request, which is the same for every try.
    pub(crate) fn request(&self, key: &str, ticket: &str) -> Request {
        let request = match self.kind.route() {
            Route::Chat { profile, class } => {
                Request::post("/v1/chat/completions", &self.chat_body(profile, class))
            }
            Route::Plain { method, path } => self.plain_request(method, path),
        };
        let request = request
            .header("authorization", format!("Bearer {key}"))
            .header("idempotency-key", self.name.clone())
            .header("barleypin-ticket", ticket)
            .header("barleypin-priority", self.kind.priority());
        match &self.session {
            Some(session) => request.header("barleypin-session", session.clone()),
            None => request,
        }
    }

    /// Parses a response that is not streamed.
    pub(crate) fn parse_response(&self, body: &[u8], response: CallResponse) -> Outcome {
        let Ok(body) = serde_json::from_slice::<Value>(body) else {
            return Outcome::Failed("the response is not JSON".to_owned());
        };
        let text = match self.kind.route() {
            Route::Chat { .. } => &body["choices"][0]["message"]["content"],
            Route::Plain { .. } => &body["call"],
        };
        let text = text.as_str().unwrap_or_default().to_owned();
        Outcome::Completed(CallResponse { text, ..response })
    }

    fn chat_body(&self, profile: &str, class: &str) -> Value {
        let messages: Vec<_> = self
            .messages
            .iter()
            .map(|(role, content)| json!({"role": role, "content": content}))
            .collect();
        json!({
            "model": profile,
            "class": class,
            "messages": messages,
            "stream": self.kind.is_streamed(),
            "max_tokens": 256,
        })
    }

    fn plain_request(&self, method: &str, path: &str) -> Request {
        let target = format!("/services/{path}");
        if method == "GET" {
            return Request::get(format!("{target}?call={}", self.name));
        }
        let body = Body::json(&json!({"call": self.name, "seats": 2}));
        Request::new(Method::Post, target)
            .header("content-type", "application/json")
            .body(body)
    }
}
