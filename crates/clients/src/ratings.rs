//! The rating service.

use http::{Repeat, Request};
use kernel::{HostName, ProfileName, RequestId, VersionId};
use serde::{Deserialize, Serialize};

use crate::percent::encode;
use crate::{Error, Service, call};

/// An answer that is to be rated.
#[derive(Clone, Debug, Serialize)]
pub struct Sample {
    /// The request.
    pub request: RequestId,
    /// The version that answered it.
    pub version: VersionId,
    /// The profile under which it was answered.
    pub profile: ProfileName,
    /// The request's class.
    pub class: String,
    /// The host that asks for the rating.
    pub reply_to: HostName,
    /// What was asked.
    pub prompt: String,
    /// What was answered.
    pub answer: String,
}

/// A rating, which may be wrong and may come late.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq)]
pub struct Rating {
    /// Its place in the order of ratings.
    pub seq: u64,
    /// The request.
    pub request: RequestId,
    /// The version that answered it.
    pub version: VersionId,
    /// The request's class.
    pub class: String,
    /// Whether the answer was good enough.
    pub good: bool,
}

/// The client of the rating service.
#[derive(Clone)]
pub struct Ratings {
    service: Service,
}

impl Ratings {
    /// A client of the service at `service`.
    #[must_use]
    pub fn new(service: Service) -> Self {
        Self { service }
    }

    /// Hands in an answer. It is sent at most once: a sample that is lost
    /// costs less than one that counts twice.
    ///
    /// # Errors
    /// [`Error::NotApplied`] or [`Error::Unknown`], precisely.
    pub async fn submit(&self, sample: &Sample) -> Result<(), Error> {
        let request = Request::post("/v1/ratings", sample);
        self.service
            .call(request, Repeat::Never, call::accepted)
            .await
    }

    /// Reads the ratings of answers that `host` handed in, after the one
    /// numbered `after`, at most `limit`.
    ///
    /// # Errors
    /// [`Error::NotApplied`] or [`Error::Unknown`] when there is no answer.
    pub async fn fetch(
        &self,
        host: &HostName,
        after: u64,
        limit: usize,
    ) -> Result<Vec<Rating>, Error> {
        #[derive(Deserialize)]
        struct Answer {
            ratings: Vec<Rating>,
        }
        let host = encode(host.as_str());
        let target = format!("/v1/ratings?for={host}&after={after}&limit={limit}");
        let answer: Answer = self
            .service
            .call(Request::get(target), Repeat::Idempotent, call::json)
            .await?;
        Ok(answer.ratings)
    }
}
