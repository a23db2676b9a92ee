//! Client of the object store.

use http::{Body, Method, Request, RetryPolicy, Status};

use crate::percent::encode_url_part;
use crate::response::{self, MAX_RESPONSE_BYTES};
use crate::{Error, Reason, Service};

/// Client of the object store.
#[derive(Clone)]
pub struct Objects {
    service: Service,
}

impl Objects {
    /// Creates a client that calls `service`.
    #[must_use]
    pub fn new(service: Service) -> Self {
        Self { service }
    }

    /// Writes an object, replacing any object of that name.
    ///
    /// # Errors
    /// [`Error::NotApplied`] if the last attempt didn't write the object,
    /// [`Error::Unknown`] if it may have. As an earlier attempt on a pooled
    /// connection may have written it, neither error means that the object is
    /// unchanged. Writes are idempotent and can be retried.
    pub async fn put(&self, name: &str, bytes: Vec<u8>) -> Result<(), Error> {
        let target = format!("/v1/objects/{}", encode_url_part(name));
        let request = Request::new(Method::Put, target).body(Body::bytes(bytes));
        self.service
            .call(request, RetryPolicy::Idempotent, response::expect_success)
            .await
    }

    /// Reads an object; returns `None` if there is none of that name.
    ///
    /// # Errors
    /// [`Error::NotApplied`] or [`Error::Unknown`] when the object can't be read.
    pub async fn get(&self, name: &str) -> Result<Option<Vec<u8>>, Error> {
        let request = Request::get(format!("/v1/objects/{}", encode_url_part(name)));
        self.service
            .call(request, RetryPolicy::Idempotent, async |response| {
                match response.status {
                    Status::Ok => {}
                    Status::NotFound => {
                        response::discard(response).await;
                        return Ok(None);
                    }
                    status => return Err(Error::from_status(status)),
                }
                let bytes = response.body.collect(MAX_RESPONSE_BYTES).await;
                bytes
                    .map(Some)
                    .map_err(|err| Error::Unknown(Reason::Http(err)))
            })
            .await
    }
}
