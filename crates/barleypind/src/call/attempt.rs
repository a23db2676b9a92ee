//! The attempts of one call at endpoints.

use std::future::poll_fn;
use std::task::Poll;
use std::time::Duration;

use async_std::future::timeout;
use decide::Outcome;
use decide::outcome::{Answer, Denial};
use decide::policy::Priority;
use engine::{Attempt, Client, Code, Failure, FailureCause};
use futures::StreamExt;
use futures::stream::{self, BoxStream};
use http::{Cause, Options};
use kernel::AttemptId;

use crate::service::endpoints::Endpoint;

/// Confidence of a response for which the engine states none.
const DEFAULT_CONFIDENCE: f64 = 0.5;
/// Maximum size of a plain service's response in bytes. Responses are buffered, since a request
/// whose response is cut off may be retried elsewhere.
pub(crate) const MAX_PLAIN_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Maximum `max_tokens` of a request that is sent unstreamed if its caller doesn't stream. The
/// responses to all others are streamed to this host, so that a stalled engine is detected.
pub(crate) const MAX_UNSTREAMED_TOKENS: u32 = 256;
/// Minimum timeout of the first byte of an unstreamed response, which the engine sends only once
/// it is complete, unless the attempt's total timeout is shorter.
const MIN_UNSTREAMED_TIMEOUT: Duration = Duration::from_secs(10);

/// A progress event of an attempt.
#[derive(Debug)]
pub(crate) enum Progress {
    /// A piece of the response's text was received.
    Text(String),
    /// The attempt ended.
    Ended(AttemptEnd),
}

/// The end of an attempt.
#[derive(Debug)]
pub(crate) struct AttemptEnd {
    pub(crate) outcome: Outcome,
    pub(crate) response: Option<CompleteResponse>,
    /// The failure, for the log.
    pub(crate) failure: Option<Failure>,
}

/// A complete response.
#[derive(Debug)]
pub(crate) enum CompleteResponse {
    Chat(engine::Answer),
    Plain(PlainResponse),
}

/// The complete response of a plain service.
#[derive(Clone, Debug)]
pub(crate) struct PlainResponse {
    pub(crate) status: http::Status,
    pub(crate) headers: http::Headers,
    pub(crate) body: Vec<u8>,
}

/// The timeouts of an attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Timeouts {
    pub(crate) connect: Duration,
    pub(crate) first_byte: Duration,
    pub(crate) stall: Duration,
    pub(crate) total: Duration,
}

impl Timeouts {
    fn options(&self) -> Options {
        Options {
            connect: self.connect.min(self.total),
            first_byte: self.first_byte.min(self.total),
            total: self.total,
            retry_policy: http::RetryPolicy::Never,
        }
    }
}

/// The attempts in flight of one call. Dropping one closes its connection.
#[derive(Default)]
pub(crate) struct AttemptsInFlight {
    attempts: Vec<Entry>,
}

struct Entry {
    attempt: Attempt,
    endpoint: Endpoint,
    progress: BoxStream<'static, Progress>,
}

impl AttemptsInFlight {
    pub(crate) fn start(
        &mut self,
        attempt: Attempt,
        endpoint: Endpoint,
        progress: BoxStream<'static, Progress>,
    ) {
        self.attempts.push(Entry {
            attempt,
            endpoint,
            progress,
        });
    }

    /// Removes an attempt, which closes its connection, and returns it with its endpoint.
    pub(crate) fn stop(&mut self, id: AttemptId) -> Option<(Attempt, Endpoint)> {
        let index = self.attempts.iter().position(|it| it.attempt.id == id)?;
        let entry = self.attempts.swap_remove(index);
        Some((entry.attempt, entry.endpoint))
    }

    /// Removes all attempts and returns them with their endpoints.
    pub(crate) fn stop_all(&mut self) -> Vec<(Attempt, Endpoint)> {
        self.attempts
            .drain(..)
            .map(|it| (it.attempt, it.endpoint))
            .collect()
    }

    /// Returns the endpoint of an attempt in flight.
    pub(crate) fn endpoint(&self, id: AttemptId) -> Option<&Endpoint> {
        let entry = self.attempts.iter().find(|it| it.attempt.id == id)?;
        Some(&entry.endpoint)
    }

    /// Returns the next progress event of any attempt. Waits forever if there are no attempts.
    pub(crate) async fn next(&mut self) -> (AttemptId, Progress) {
        poll_fn(|cx| {
            for entry in &mut self.attempts {
                if let Poll::Ready(Some(progress)) = entry.progress.poll_next_unpin(cx) {
                    return Poll::Ready((entry.attempt.id, progress));
                }
            }
            Poll::Pending
        })
        .await
    }
}

/// Sends a chat completion to an engine and streams its response.
pub(crate) fn chat(
    client: Client,
    to: engine::Endpoint,
    attempt: Attempt,
    chat: engine::Chat,
    timeouts: Timeouts,
) -> BoxStream<'static, Progress> {
    enum State {
        Unsent(Client, engine::Endpoint, Attempt, Box<engine::Chat>),
        Open(engine::Stream),
        Closed,
    }
    let start = State::Unsent(client, to, attempt, Box::new(chat));
    stream::unfold(start, move |state| async move {
        let mut stream = match state {
            State::Unsent(client, to, attempt, chat) => {
                match client
                    .stream(&to, &attempt, &chat, &timeouts.options())
                    .await
                {
                    Ok(stream) => stream,
                    Err(failure) => return Some((failed(failure), State::Closed)),
                }
            }
            State::Open(stream) => stream,
            State::Closed => return None,
        };
        match timeout(timeouts.stall, stream.next()).await {
            Ok(Some(text)) => {
                let progress = Progress::Text(text.to_owned());
                Some((progress, State::Open(stream)))
            }
            Ok(None) => Some((ended(stream.finish().await), State::Closed)),
            Err(_) => {
                let failure = Failure::Cut(FailureCause::Link(Cause::Timeout));
                Some((failed(failure), State::Closed))
            }
        }
    })
    .boxed()
}

/// Sends a chat completion to an engine and receives a short response unstreamed.
pub(crate) fn chat_unstreamed(
    client: Client,
    to: engine::Endpoint,
    attempt: Attempt,
    chat: engine::Chat,
    timeouts: Timeouts,
) -> BoxStream<'static, Progress> {
    let timeouts = Timeouts {
        first_byte: timeouts.first_byte.max(MIN_UNSTREAMED_TIMEOUT),
        ..timeouts
    };
    stream::once(async move { ended(client.chat(&to, &attempt, &chat, &timeouts.options()).await) })
        .boxed()
}

/// Sends a request to a plain service.
pub(crate) fn plain(
    client: Client,
    to: engine::Endpoint,
    attempt: Attempt,
    call: engine::Call,
    timeouts: Timeouts,
) -> BoxStream<'static, Progress> {
    stream::once(async move {
        match client.call(&to, &attempt, call, &timeouts.options()).await {
            Err(failure) => failed(failure),
            Ok(response) => {
                let http::Response {
                    status,
                    headers,
                    body,
                } = response;
                match body.collect(MAX_PLAIN_RESPONSE_BYTES).await {
                    Err(err) => failed(err.into()),
                    Ok(body) => Progress::Ended(AttemptEnd {
                        outcome: Outcome::Served,
                        response: Some(CompleteResponse::Plain(PlainResponse {
                            status,
                            headers,
                            body,
                        })),
                        failure: None,
                    }),
                }
            }
        }
    })
    .boxed()
}

/// Returns a failed attempt, for a chat completion without a version, which the decider never
/// dispatches.
pub(crate) fn missing_version() -> BoxStream<'static, Progress> {
    stream::once(async { failed(Failure::NotSent(Cause::Malformed)) }).boxed()
}

/// Converts a priority into the engine's form.
pub(crate) fn priority(priority: Priority) -> engine::Priority {
    match priority {
        Priority::Urgent => engine::Priority::Urgent,
        Priority::Interactive => engine::Priority::Interactive,
        Priority::Batch => engine::Priority::Batch,
    }
}

/// Sends cancellations to endpoints in the background.
pub(crate) fn cancel(client: &Client, stopped: Vec<(Attempt, Endpoint)>) {
    for (attempt, endpoint) in stopped {
        let client = client.clone();
        async_std::task::spawn(async move {
            // An endpoint that misses the cancellation only wastes work.
            let _ = client
                .cancel(&endpoint.target, &attempt, &Options::default())
                .await;
        });
    }
}

fn ended(result: Result<engine::Answer, Failure>) -> Progress {
    match result {
        Err(failure) => failed(failure),
        Ok(answer) => Progress::Ended(AttemptEnd {
            outcome: Outcome::Answered(Answer {
                confidence: answer.confidence.unwrap_or(DEFAULT_CONFIDENCE),
                prompt_tokens: saturate(answer.usage.prompt_tokens),
                completion_tokens: saturate(answer.usage.completion_tokens),
            }),
            response: Some(CompleteResponse::Chat(answer)),
            failure: None,
        }),
    }
}

fn failed(failure: Failure) -> Progress {
    Progress::Ended(AttemptEnd {
        outcome: outcome(failure),
        response: None,
        failure: Some(failure),
    })
}

fn outcome(failure: Failure) -> Outcome {
    match failure {
        Failure::NotSent(_) => Outcome::NotSent,
        Failure::Refused(code) => Outcome::Denied(match code {
            Code::NotLoaded => Denial::NotLoaded,
            Code::Overloaded => Denial::Overloaded,
            Code::Leaving => Denial::Leaving,
            Code::WrongIncarnation => Denial::WrongIncarnation,
        }),
        Failure::MayHaveRun(FailureCause::Link(Cause::Timeout))
        | Failure::Cut(FailureCause::Link(Cause::Timeout)) => Outcome::TimedOut,
        Failure::MayHaveRun(_) => Outcome::Failed,
        Failure::Cut(_) => Outcome::Cut,
    }
}

fn saturate(tokens: u64) -> u32 {
    u32::try_from(tokens).unwrap_or(u32::MAX)
}
