//! Reads the responses of services.

use http::{Response, Status};
use serde::de::DeserializeOwned;

use crate::{Error, Reason};

/// Maximum size of a response body that is read into memory.
/// [`Objects::put`](crate::Objects::put) doesn't enforce it, so a larger object
/// can't be read back.
pub(crate) const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Parses the JSON body of a 200 response; any other status is an error.
pub(crate) async fn parse_success<T: DeserializeOwned>(response: Response) -> Result<T, Error> {
    match response.status {
        Status::Ok => parse_body(response).await,
        status => Err(Error::from_status(status)),
    }
}

/// Parses the JSON body of a response whose status the caller has checked.
///
/// A truncated or malformed body yields [`Error::Unknown`]: if the call is a
/// write, it may have taken effect.
pub(crate) async fn parse_body<T: DeserializeOwned>(response: Response) -> Result<T, Error> {
    response
        .body
        .parse(MAX_RESPONSE_BYTES)
        .await
        .map_err(|err| Error::Unknown(Reason::Http(err)))
}

/// Discards the body of a response; any status other than 2xx is an error.
pub(crate) async fn expect_success(response: Response) -> Result<(), Error> {
    let status = response.status;
    discard(response).await;
    if status.is_success() {
        Ok(())
    } else {
        Err(Error::from_status(status))
    }
}

/// Reads and drops the body of a response, so that its connection can be reused.
pub(crate) async fn discard(response: Response) {
    // The status alone decides the outcome, so a failed read is ignored.
    let _ = response.body.collect(MAX_RESPONSE_BYTES).await;
}
