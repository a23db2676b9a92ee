//! Why a call has no answer, told by whether it can have run.

use derive_more::{Display, Error};
use http::{Body, Cause, Response, Status};
use serde::Deserialize;

use crate::Fault;

/// The greatest refusal that is read, in bytes. It comes with its length.
const MAX_REFUSAL: usize = 64 * 1024;

/// Why a call has no whole answer.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Failure {
    /// Nothing left this host.
    #[display("not sent: {_0}")]
    NotSent(#[error(not(source))] Cause),
    /// The endpoint says that it ran nothing.
    #[display("refused: {_0}")]
    Refused(#[error(not(source))] Code),
    /// The call may have run, or may still.
    #[display("may have run: {_0}")]
    MayHaveRun(#[error(not(source))] Why),
    /// The answer began and didn't come whole.
    #[display("answer cut: {_0}")]
    Cut(#[error(not(source))] Why),
}

/// The endpoint's own reason to run nothing.
#[derive(Clone, Copy, Debug, Display, Deserialize, PartialEq, Eq, Hash)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The version isn't loaded.
    #[display("not_loaded")]
    NotLoaded,
    /// It has no room.
    #[display("overloaded")]
    Overloaded,
    /// It takes no new work any more.
    #[display("leaving")]
    Leaving,
    /// It isn't the life that was meant.
    #[display("wrong_incarnation")]
    WrongIncarnation,
}

/// What went wrong with a call that left this host.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Why {
    /// The connection.
    #[display("{_0}")]
    Link(Cause),
    /// A status that isn't an own refusal.
    #[display("status {_0}")]
    Status(u16),
    /// The answer's content.
    #[display("{_0}")]
    Content(Fault),
}

impl From<http::Error> for Failure {
    fn from(err: http::Error) -> Self {
        match err {
            http::Error::NotSent(cause) => Self::NotSent(cause),
            http::Error::MaybeSent(cause) => Self::MayHaveRun(Why::Link(cause)),
            http::Error::Cut(cause) => Self::Cut(Why::Link(cause)),
            http::Error::TooLarge { .. } => Self::Cut(Why::Content(Fault::TooLarge)),
            http::Error::Json { .. } => Self::Cut(Why::Content(Fault::Malformed)),
        }
    }
}

/// What an endpoint sent: its own refusal, or an answer.
pub(crate) enum Reply {
    Refusal(Code),
    Answer(Response),
}

/// Looks for the endpoint's own refusal.
///
/// Only a code of the closed list proves that nothing ran. A 503 by the service
/// behind the endpoint, or by something between, proves nothing.
///
/// Failure: an endpoint says its refusal twice, the second time late. A refusal names no
/// attempt, so the next call on that connection took it for its own, and "not run" was
/// said of a call that ran. A connection on which an endpoint refused is therefore
/// closed: on a new one, all that it says is about the new call. That costs a handshake
/// a refusal.
///
/// # Errors
/// [`http::Error::Cut`] when what could have been a refusal didn't come whole.
pub(crate) async fn read(response: Response) -> Result<Reply, http::Error> {
    #[derive(Deserialize)]
    struct Refusal {
        error: Reason,
    }
    #[derive(Deserialize)]
    struct Reason {
        code: Code,
    }
    let is_small = |len| len <= MAX_REFUSAL as u64;
    if response.status != Status::ServiceUnavailable || !response.body.len().is_some_and(is_small) {
        return Ok(Reply::Answer(response));
    }
    let Response {
        status,
        headers,
        mut body,
    } = response;
    let bytes = body.drain(MAX_REFUSAL).await?;
    if let Ok(refusal) = serde_json::from_slice::<Refusal>(&bytes) {
        body.give_up();
        return Ok(Reply::Refusal(refusal.error.code));
    }
    Ok(Reply::Answer(Response {
        status,
        headers,
        body: Body::bytes(bytes),
    }))
}
