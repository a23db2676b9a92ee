//! The response channel to the caller.

use futures::channel::oneshot;
use gate::chat::{Extra, Usage};
use gate::problem::Problem;
use gate::sse;
use http::{Headers, Response, Sender};
use kernel::VersionId;

use crate::host::Host;
use crate::reply;

/// Number of pieces of a stream buffered for a slow caller before relaying waits.
const STREAM_BUFFER: usize = 64;

/// The response channel to the caller. Its only owner is the call's run, so that the bytes of two
/// attempts can't mix.
pub(crate) enum Caller {
    /// Nothing has been sent.
    Waiting(oneshot::Sender<Response>),
    /// A stream has been started.
    Streaming(Sender, sse::Stream),
    /// The caller disconnected.
    Disconnected,
}

impl Caller {
    pub(crate) fn is_disconnected(&self) -> bool {
        matches!(self, Self::Disconnected)
    }

    /// Starts a stream if nothing has been sent.
    pub(crate) fn begin(
        &mut self,
        request: &str,
        created: u64,
        version: VersionId,
        headers: &Headers,
    ) {
        *self = match std::mem::replace(self, Self::Disconnected) {
            Self::Waiting(head) => {
                let (sender, mut response) = Response::events(STREAM_BUFFER);
                add_headers(&mut response, headers);
                let events = sse::Stream::new(request.to_owned(), created, version);
                match head.send(response) {
                    Ok(()) => Self::Streaming(sender, events),
                    Err(_) => Self::Disconnected,
                }
            }
            other => other,
        };
    }

    /// Sends a piece of the response, waiting for a slow caller.
    pub(crate) async fn relay(&mut self, text: &str) {
        if let Self::Streaming(sender, events) = self
            && sender.send(events.chunk(text)).await.is_err()
        {
            *self = Self::Disconnected;
        }
    }

    /// Completes a stream. Sends the end mark last.
    pub(crate) async fn end(self, finish: &str, usage: Usage, extra: &Extra) {
        if let Self::Streaming(sender, events) = self {
            let last = events.last(finish, usage, extra) + sse::END;
            if sender.send(last).await.is_ok() {
                // The caller has the end mark or has disconnected.
                let _ = sender.finish().await;
            }
        }
    }

    /// Sends an unstreamed response.
    pub(crate) fn respond(self, response: Response) {
        if let Self::Waiting(head) = self {
            // Fails only if the caller disconnected.
            let _ = head.send(response);
        }
    }

    /// Sends a refusal, or ends a started stream with an error and no end mark.
    pub(crate) async fn refuse(self, host: &Host, problem: &Problem, headers: &Headers) {
        let mut response = reply::refuse(host, problem);
        match self {
            Self::Waiting(head) => {
                add_headers(&mut response, headers);
                let _ = head.send(response);
            }
            Self::Streaming(sender, _) => {
                if sender.send(sse::error(problem)).await.is_ok() {
                    let _ = sender.finish().await;
                }
            }
            Self::Disconnected => {}
        }
    }
}

pub(crate) fn add_headers(response: &mut Response, headers: &Headers) {
    for (name, value) in headers.iter() {
        response.headers.set(name.to_owned(), value);
    }
}
