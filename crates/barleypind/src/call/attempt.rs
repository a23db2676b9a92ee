//! Attempts: what runs at endpoints for one call.

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

/// What an engine that states no confidence is taken to have.
const NO_CONFIDENCE: f64 = 0.5;
/// The greatest answer of a plain service, in bytes. Answers are held whole,
/// since one that breaks off midway may be asked for again elsewhere.
pub(crate) const MAX_PLAIN: usize = 16 * 1024 * 1024;

/// The longest answer, in tokens, that is asked for in one piece when its
/// caller wants it so: a stream would cost a wake-up a token. A longer one is
/// streamed to this host all the same, so that a stalled engine is noticed.
pub(crate) const SHORT: u32 = 256;
/// The time that such an answer may take to come.
const SHORT_TIME: Duration = Duration::from_secs(10);

/// How an attempt goes on.
#[derive(Debug)]
pub(crate) enum Progress {
    /// Text came.
    Text(String),
    /// It ended.
    Ended(End),
}

/// How an attempt ended.
#[derive(Debug)]
pub(crate) struct End {
    pub(crate) outcome: Outcome,
    pub(crate) product: Option<Product>,
    /// What went wrong, for the log.
    pub(crate) failure: Option<Failure>,
}

/// A whole answer.
#[derive(Debug)]
pub(crate) enum Product {
    Chat(engine::Answer),
    Plain(Plain),
}

/// The whole answer of a plain service.
#[derive(Clone, Debug)]
pub(crate) struct Plain {
    pub(crate) status: http::Status,
    pub(crate) headers: http::Headers,
    pub(crate) body: Vec<u8>,
}

/// How long an attempt may take.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Times {
    pub(crate) connect: Duration,
    pub(crate) first_byte: Duration,
    pub(crate) stall: Duration,
    pub(crate) total: Duration,
}

impl Times {
    fn options(&self) -> Options {
        Options {
            connect: self.connect.min(self.total),
            first_byte: self.first_byte.min(self.total),
            total: self.total,
            retry_policy: http::RetryPolicy::Never,
        }
    }
}

/// The running attempts of one call. Dropping one closes its connection.
#[derive(Default)]
pub(crate) struct Running {
    attempts: Vec<Entry>,
}

struct Entry {
    name: Attempt,
    at: Endpoint,
    progress: BoxStream<'static, Progress>,
}

impl Running {
    pub(crate) fn start(
        &mut self,
        name: Attempt,
        at: Endpoint,
        progress: BoxStream<'static, Progress>,
    ) {
        self.attempts.push(Entry { name, at, progress });
    }

    /// Stops an attempt; its endpoint is to be told.
    pub(crate) fn stop(&mut self, id: AttemptId) -> Option<(Attempt, Endpoint)> {
        let at = self.attempts.iter().position(|it| it.name.id == id)?;
        let entry = self.attempts.swap_remove(at);
        Some((entry.name, entry.at))
    }

    /// Stops all.
    pub(crate) fn stop_all(&mut self) -> Vec<(Attempt, Endpoint)> {
        self.attempts.drain(..).map(|it| (it.name, it.at)).collect()
    }

    /// The endpoint of a running attempt.
    pub(crate) fn endpoint(&self, id: AttemptId) -> Option<&Endpoint> {
        let entry = self.attempts.iter().find(|it| it.name.id == id)?;
        Some(&entry.at)
    }

    /// The next progress of any; waits for ever while there is none.
    pub(crate) async fn next(&mut self) -> (AttemptId, Progress) {
        poll_fn(|cx| {
            for entry in &mut self.attempts {
                if let Poll::Ready(Some(progress)) = entry.progress.poll_next_unpin(cx) {
                    return Poll::Ready((entry.name.id, progress));
                }
            }
            Poll::Pending
        })
        .await
    }
}

/// An attempt at an engine.
pub(crate) fn chat(
    client: Client,
    to: engine::Endpoint,
    attempt: Attempt,
    chat: engine::Chat,
    times: Times,
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
                match client.stream(&to, &attempt, &chat, &times.options()).await {
                    Ok(stream) => stream,
                    Err(failure) => return Some((failed(failure), State::Closed)),
                }
            }
            State::Open(stream) => stream,
            State::Closed => return None,
        };
        match timeout(times.stall, stream.next()).await {
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

/// An attempt at an engine whose answer is short and comes in one piece.
pub(crate) fn whole(
    client: Client,
    to: engine::Endpoint,
    attempt: Attempt,
    chat: engine::Chat,
    times: Times,
) -> BoxStream<'static, Progress> {
    let times = Times {
        first_byte: times.first_byte.max(SHORT_TIME),
        ..times
    };
    stream::once(async move { ended(client.chat(&to, &attempt, &chat, &times.options()).await) })
        .boxed()
}

/// An attempt at a plain service.
pub(crate) fn plain(
    client: Client,
    to: engine::Endpoint,
    attempt: Attempt,
    call: engine::Call,
    times: Times,
) -> BoxStream<'static, Progress> {
    stream::once(async move {
        match client.call(&to, &attempt, call, &times.options()).await {
            Err(failure) => failed(failure),
            Ok(response) => {
                let http::Response {
                    status,
                    headers,
                    body,
                } = response;
                match body.collect(MAX_PLAIN).await {
                    Err(err) => failed(err.into()),
                    Ok(body) => Progress::Ended(End {
                        outcome: Outcome::Served,
                        product: Some(Product::Plain(Plain {
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

/// An attempt at a chat without a version, which the decider never asks for.
pub(crate) fn impossible() -> BoxStream<'static, Progress> {
    stream::once(async { failed(Failure::NotSent(Cause::Malformed)) }).boxed()
}

/// The engine's word for a priority.
pub(crate) fn priority(priority: Priority) -> engine::Priority {
    match priority {
        Priority::Urgent => engine::Priority::Urgent,
        Priority::Interactive => engine::Priority::Interactive,
        Priority::Batch => engine::Priority::Batch,
    }
}

/// Tells endpoints that nobody waits any more, without waiting for them.
pub(crate) fn cancel(client: &Client, stopped: Vec<(Attempt, Endpoint)>) {
    for (attempt, endpoint) in stopped {
        let client = client.clone();
        async_std::task::spawn(async move {
            // An endpoint that doesn't hear it works in vain, and no more.
            let _ = client
                .cancel(&endpoint.at, &attempt, &Options::default())
                .await;
        });
    }
}

fn ended(result: Result<engine::Answer, Failure>) -> Progress {
    match result {
        Err(failure) => failed(failure),
        Ok(answer) => Progress::Ended(End {
            outcome: Outcome::Answered(Answer {
                confidence: answer.confidence.unwrap_or(NO_CONFIDENCE),
                prompt_tokens: clamp(answer.usage.prompt_tokens),
                completion_tokens: clamp(answer.usage.completion_tokens),
            }),
            product: Some(Product::Chat(answer)),
            failure: None,
        }),
    }
}

fn failed(failure: Failure) -> Progress {
    Progress::Ended(End {
        outcome: outcome(failure),
        product: None,
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

fn clamp(tokens: u64) -> u32 {
    u32::try_from(tokens).unwrap_or(u32::MAX)
}
