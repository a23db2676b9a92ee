//! Call failures, classified by whether the call may have run.

use derive_more::{Display, Error};
use http::{Body, Cause, Response, Status};
use serde::Deserialize;

use crate::Fault;

/// The maximum `content-length` of a refusal, in bytes. A refusal always declares its length.
const MAX_REFUSAL_BYTES: usize = 64 * 1024;

/// The reason why a call failed.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Failure {
    /// Nothing was sent.
    #[display("not sent: {_0}")]
    NotSent(#[error(not(source))] Cause),
    /// The endpoint refused the call without running it.
    #[display("refused: {_0}")]
    Refused(#[error(not(source))] Code),
    /// The call may have run or may still be running.
    #[display("may have run: {_0}")]
    MayHaveRun(#[error(not(source))] FailureCause),
    /// The response started but is incomplete or invalid.
    #[display("answer cut: {_0}")]
    Cut(#[error(not(source))] FailureCause),
}

/// The reason with which an endpoint refuses a call.
#[derive(Clone, Copy, Debug, Display, Deserialize, PartialEq, Eq, Hash)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The version isn't loaded on the engine.
    #[display("not_loaded")]
    NotLoaded,
    /// The endpoint has no free capacity.
    #[display("overloaded")]
    Overloaded,
    /// The endpoint no longer accepts new calls.
    #[display("leaving")]
    Leaving,
    /// The endpoint's incarnation differs from the expected one.
    #[display("wrong_incarnation")]
    WrongIncarnation,
}

/// The cause of the failure of a call that may have been sent.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum FailureCause {
    /// The exchange failed, for example because of a timeout, a closed connection or
    /// malformed HTTP.
    #[display("{_0}")]
    Link(Cause),
    /// An unexpected status. The response isn't a refusal, wasn't recognized as one, or
    /// wasn't checked for one, as in [`Client::load`](crate::Client::load).
    #[display("status {_0}")]
    Status(u16),
    /// The content of the response is invalid.
    #[display("{_0}")]
    Content(Fault),
}

impl From<http::Error> for Failure {
    fn from(err: http::Error) -> Self {
        match err {
            http::Error::NotSent(cause) => Self::NotSent(cause),
            http::Error::MaybeSent(cause) => Self::MayHaveRun(FailureCause::Link(cause)),
            http::Error::Cut(cause) => Self::Cut(FailureCause::Link(cause)),
            http::Error::TooLarge { .. } => Self::Cut(FailureCause::Content(Fault::TooLarge)),
            http::Error::Json { .. } => Self::Cut(FailureCause::Content(Fault::Malformed)),
        }
    }
}

/// A refusal by the endpoint, or any other response.
pub(crate) enum Reply {
    Refusal(Code),
    Other(Response),
}

/// Checks whether `response` is a refusal by the endpoint.
///
/// Only a known [`Code`] proves that nothing ran. A 503 from the service behind the
/// endpoint or from an intermediary proves nothing.
///
/// The connection is closed after a refusal. A refusal carries no attempt id, so a
/// duplicate that arrives late on a reused connection would be taken as the response to
/// the next call, and a call that ran would be reported as not run.
///
/// # Errors
/// Returns [`http::Error::Cut`] if the body of a possible refusal is incomplete.
pub(crate) async fn classify(response: Response) -> Result<Reply, http::Error> {
    #[derive(Deserialize)]
    struct Refusal {
        error: Reason,
    }
    #[derive(Deserialize)]
    struct Reason {
        code: Code,
    }
    let is_small = |len| len <= MAX_REFUSAL_BYTES as u64;
    if response.status != Status::ServiceUnavailable || !response.body.len().is_some_and(is_small) {
        return Ok(Reply::Other(response));
    }
    let Response {
        status,
        headers,
        mut body,
    } = response;
    let bytes = body.read_all(MAX_REFUSAL_BYTES).await?;
    if let Ok(refusal) = serde_json::from_slice::<Refusal>(&bytes) {
        body.discard_connection();
        return Ok(Reply::Refusal(refusal.error.code));
    }
    Ok(Reply::Other(Response {
        status,
        headers,
        body: Body::bytes(bytes),
    }))
}
