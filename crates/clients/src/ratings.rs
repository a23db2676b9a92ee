//! Client of the rating service.

use http::{Request, RetryPolicy};
use kernel::{HostName, ProfileName, RequestId, VersionId};
use serde::{Deserialize, Serialize};

use crate::percent::encode_url_part;
use crate::{Error, Service, response};

/// An answer submitted for rating.
#[derive(Clone, Debug, Serialize)]
pub struct Sample {
    /// ID of the request.
    pub request: RequestId,
    /// The version that produced the answer.
    pub version: VersionId,
    /// Profile of the request.
    pub profile: ProfileName,
    /// Class of the request.
    pub class: String,
    /// The host that submits the answer and fetches its rating.
    pub reply_to: HostName,
    /// Text of the request.
    pub prompt: String,
    /// Text of the answer.
    pub answer: String,
}

/// Rating of an answer. It may be wrong and may arrive late.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq)]
pub struct Rating {
    /// Sequence number of the rating.
    pub seq: u64,
    /// ID of the request.
    pub request: RequestId,
    /// The version that produced the answer.
    pub version: VersionId,
    /// Class of the request.
    pub class: String,
    /// Whether the answer was good enough.
    pub good: bool,
}

/// Client of the rating service.
#[derive(Clone)]
pub struct Ratings {
    service: Service,
}

impl Ratings {
    /// Creates a client that calls `service`.
    #[must_use]
    pub fn new(service: Service) -> Self {
        Self { service }
    }

    /// Submits an answer for rating. It is sent at most once, because losing a
    /// sample does less harm than counting it twice.
    ///
    /// # Errors
    /// [`Error::NotApplied`] if the sample wasn't accepted, [`Error::Unknown`] if
    /// it may have been.
    pub async fn submit(&self, sample: &Sample) -> Result<(), Error> {
        let request = Request::post("/v1/ratings", sample);
        self.service
            .call(request, RetryPolicy::Never, response::expect_success)
            .await
    }

    /// Reads at most `limit` ratings of answers that `host` submitted, starting
    /// after sequence number `after`.
    ///
    /// # Errors
    /// [`Error::NotApplied`] or [`Error::Unknown`] when the ratings can't be read.
    pub async fn fetch(
        &self,
        host: &HostName,
        after: u64,
        limit: usize,
    ) -> Result<Vec<Rating>, Error> {
        #[derive(Deserialize)]
        struct RatingsResponse {
            ratings: Vec<Rating>,
        }
        let host = encode_url_part(host.as_str());
        let target = format!("/v1/ratings?for={host}&after={after}&limit={limit}");
        let response: RatingsResponse = self
            .service
            .call(
                Request::get(target),
                RetryPolicy::Idempotent,
                response::parse_success,
            )
            .await?;
        Ok(response.ratings)
    }
}
