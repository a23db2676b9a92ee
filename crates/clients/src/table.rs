//! The transactional table.

mod row;
mod transaction;

use http::{Repeat, Request, Status};
use serde::Deserialize;

use crate::percent::encode;
use crate::row::{Key, Prefix};
use crate::{Error, Failed, Service, call};

pub use row::{Page, Row, Version};
pub use transaction::{Condition, Transaction, Versions};

/// The client of the table service.
#[derive(Clone)]
pub struct Table {
    service: Service,
}

impl Table {
    /// A client of the table at `service`.
    #[must_use]
    pub fn new(service: Service) -> Self {
        Self { service }
    }

    /// Whether the table has an outage by what callers found.
    #[must_use]
    pub fn is_out(&self) -> bool {
        self.service.is_out()
    }

    /// Applies `transaction` if all its conditions hold.
    ///
    /// It is sent at most once: a repeat could fail on the conditions that its
    /// first run made false, and look like a conflict.
    ///
    /// # Errors
    /// [`Error`], precisely: after [`Error::Unknown`] the rows must be read.
    pub async fn transact(&self, transaction: &Transaction) -> Result<Versions, Error> {
        #[derive(Deserialize)]
        struct Conflict {
            failed: Vec<Failed>,
        }
        let request = Request::post("/v1/transact", transaction);
        self.service
            .call(request, Repeat::Never, async |response| {
                if response.status != Status::Conflict {
                    return call::json(response).await;
                }
                // The status alone says that nothing was written.
                let failed = call::body::<Conflict>(response).await;
                let failed = failed.map_or_else(|_| Vec::new(), |it| it.failed);
                Err(Error::Conflict { failed })
            })
            .await
    }

    /// Reads a row.
    ///
    /// # Errors
    /// [`Error::NotApplied`] or [`Error::Unknown`] when there is no answer.
    pub async fn get(&self, key: &Key) -> Result<Option<Row>, Error> {
        let request = Request::get(format!("/v1/rows/{}", encode(&key.to_string())));
        self.service
            .call(request, Repeat::Idempotent, async |response| {
                if response.status == Status::NotFound {
                    call::discard(response).await;
                    return Ok(None);
                }
                call::json(response).await.map(Some)
            })
            .await
    }

    /// Reads rows that start with `prefix`, after the key `after`, at most `limit`.
    ///
    /// # Errors
    /// [`Error::NotApplied`] or [`Error::Unknown`] when there is no answer.
    pub async fn scan(
        &self,
        prefix: Prefix,
        after: Option<&str>,
        limit: usize,
    ) -> Result<Page, Error> {
        let prefix = encode(&prefix.to_string());
        let mut target = format!("/v1/rows?prefix={prefix}&limit={limit}");
        if let Some(after) = after {
            target.push_str("&after=");
            target.push_str(&encode(after));
        }
        self.service
            .call(Request::get(target), Repeat::Idempotent, call::json)
            .await
    }
}
