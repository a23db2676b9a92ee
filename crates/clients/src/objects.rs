//! The object store.

use http::{Body, Method, Repeat, Request, Status};

use crate::call::{self, MAX_ANSWER};
use crate::percent::encode;
use crate::{Error, Reason, Service};

/// The client of the object store.
#[derive(Clone)]
pub struct Objects {
    service: Service,
}

impl Objects {
    /// A client of the store at `service`.
    #[must_use]
    pub fn new(service: Service) -> Self {
        Self { service }
    }

    /// Writes an object, in place of one of that name.
    ///
    /// # Errors
    /// [`Error::NotApplied`] or [`Error::Unknown`], precisely. Writing again is harmless.
    pub async fn put(&self, name: &str, bytes: Vec<u8>) -> Result<(), Error> {
        let target = format!("/v1/objects/{}", encode(name));
        let request = Request::new(Method::Put, target).body(Body::bytes(bytes));
        self.service
            .call(request, Repeat::Idempotent, call::accepted)
            .await
    }

    /// Reads an object; nothing when there is none of that name.
    ///
    /// # Errors
    /// [`Error::NotApplied`] or [`Error::Unknown`] when there is no answer.
    pub async fn get(&self, name: &str) -> Result<Option<Vec<u8>>, Error> {
        let request = Request::get(format!("/v1/objects/{}", encode(name)));
        self.service
            .call(request, Repeat::Idempotent, async |response| {
                match response.status {
                    Status::Ok => {}
                    Status::NotFound => {
                        call::discard(response).await;
                        return Ok(None);
                    }
                    status => return Err(Error::status(status)),
                }
                let bytes = response.body.collect(MAX_ANSWER).await;
                bytes
                    .map(Some)
                    .map_err(|err| Error::Unknown(Reason::Http(err)))
            })
            .await
    }
}
