//! Client of the transactional table service.

mod row;
mod transaction;

use http::{Request, RetryPolicy, Status};
use serde::Deserialize;

use crate::percent::encode_url_part;
use crate::row::{Key, Prefix};
use crate::{Error, Failed, Service, response};

pub use row::{Page, Row, Version};
pub use transaction::{Condition, Transaction, Versions};

/// Client of the table service.
#[derive(Clone)]
pub struct Table {
    service: Service,
}

impl Table {
    /// Creates a client that calls `service`.
    #[must_use]
    pub fn new(service: Service) -> Self {
        Self { service }
    }

    /// Returns whether the table's circuit breaker is open or waits for the outcome
    /// of a probe.
    #[must_use]
    pub fn is_out(&self) -> bool {
        self.service.is_out()
    }

    /// Applies `transaction` if all its conditions hold.
    ///
    /// It is sent at most once. A retry of an applied transaction could be reported
    /// as a conflict, because the first attempt changed the rows that the conditions
    /// name.
    ///
    /// # Errors
    /// [`Error::Conflict`] or [`Error::NotApplied`] if nothing was written. After
    /// [`Error::Unknown`] the caller must read the rows to learn the outcome.
    pub async fn transact(&self, transaction: &Transaction) -> Result<Versions, Error> {
        #[derive(Deserialize)]
        struct Conflict {
            failed: Vec<Failed>,
        }
        let request = Request::post("/v1/transact", transaction);
        self.service
            .call(request, RetryPolicy::Never, async |response| {
                if response.status != Status::Conflict {
                    return response::parse_success(response).await;
                }
                // The status alone implies that nothing was written.
                let failed = response::parse_body::<Conflict>(response).await;
                let failed = failed.map_or_else(|_| Vec::new(), |it| it.failed);
                Err(Error::Conflict { failed })
            })
            .await
    }

    /// Reads a row; returns `None` if there is none with that key.
    ///
    /// # Errors
    /// [`Error::NotApplied`] or [`Error::Unknown`] when the table can't be read.
    pub async fn get(&self, key: &Key) -> Result<Option<Row>, Error> {
        let request = Request::get(format!("/v1/rows/{}", encode_url_part(&key.to_string())));
        self.service
            .call(request, RetryPolicy::Idempotent, async |response| {
                if response.status == Status::NotFound {
                    response::discard(response).await;
                    return Ok(None);
                }
                response::parse_success(response).await.map(Some)
            })
            .await
    }

    /// Reads at most `limit` rows whose keys start with `prefix` and sort after `after`.
    ///
    /// # Errors
    /// [`Error::NotApplied`] or [`Error::Unknown`] when the table can't be read.
    pub async fn scan(
        &self,
        prefix: Prefix,
        after: Option<&str>,
        limit: usize,
    ) -> Result<Page, Error> {
        let prefix = encode_url_part(&prefix.to_string());
        let mut target = format!("/v1/rows?prefix={prefix}&limit={limit}");
        if let Some(after) = after {
            target.push_str("&after=");
            target.push_str(&encode_url_part(after));
        }
        self.service
            .call(
                Request::get(target),
                RetryPolicy::Idempotent,
                response::parse_success,
            )
            .await
    }
}
