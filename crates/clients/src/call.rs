//! Reading answers.

use http::{Response, Status};
use serde::de::DeserializeOwned;

use crate::{Error, Reason};

/// The greatest answer that is read into memory, in bytes: a whole
/// configuration document or a full page of rows.
pub(crate) const MAX_ANSWER: usize = 64 * 1024 * 1024;

/// The JSON of a 200, and an error for every other status.
pub(crate) async fn json<T: DeserializeOwned>(response: Response) -> Result<T, Error> {
    match response.status {
        Status::Ok => body(response).await,
        status => Err(Error::status(status)),
    }
}

/// The JSON of an answer whose status was looked at.
///
/// An answer that breaks off or can't be read leaves open what the call did.
pub(crate) async fn body<T: DeserializeOwned>(response: Response) -> Result<T, Error> {
    response
        .body
        .parse(MAX_ANSWER)
        .await
        .map_err(|err| Error::Unknown(Reason::Http(err)))
}

/// Nothing for a status of success, and an error for every other one.
pub(crate) async fn accepted(response: Response) -> Result<(), Error> {
    let status = response.status;
    discard(response).await;
    if status.is_success() {
        Ok(())
    } else {
        Err(Error::status(status))
    }
}

/// Reads what is left of an answer that carries nothing, so that its
/// connection can be used again.
pub(crate) async fn discard(response: Response) {
    // The status has said all there is to say.
    let _ = response.body.collect(MAX_ANSWER).await;
}
