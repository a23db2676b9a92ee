//! The transactional table.

use std::collections::BTreeMap;

use derive_more::{Display, From, Into};
use http::{Repeat, Request, Status};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::percent::encode;
use crate::row::{Key, Prefix};
use crate::{Error, Failed, Service, call};

/// The version of a row. All rows take theirs from one counter that only rises.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    From,
    Into,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

/// What must hold for a transaction to be applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Condition {
    /// There is no such row.
    Absent(Key),
    /// The row stands at this version.
    At(Key, Version),
}

/// Conditions and writes that are applied together or not at all.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Transaction {
    conditions: Vec<WireCondition>,
    puts: Vec<WirePut>,
    deletes: Vec<String>,
}

#[derive(Clone, Debug, Serialize)]
struct WireCondition {
    key: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    absent: Option<bool>,
    #[serde(skip_serializing_if = "Option::is_none")]
    version: Option<Version>,
}

#[derive(Clone, Debug, Serialize)]
struct WirePut {
    key: String,
    value: Value,
}

impl Transaction {
    /// Adds a condition.
    #[must_use]
    pub fn when(mut self, condition: Condition) -> Self {
        self.conditions.push(match condition {
            Condition::Absent(key) => WireCondition {
                key: key.to_string(),
                absent: Some(true),
                version: None,
            },
            Condition::At(key, version) => WireCondition {
                key: key.to_string(),
                absent: None,
                version: Some(version),
            },
        });
        self
    }

    /// Adds a row to write.
    ///
    /// A value that has no JSON form (a map whose keys aren't text) is written
    /// as null; the types of this workspace have one.
    #[must_use]
    pub fn put<T: Serialize + ?Sized>(mut self, key: &Key, value: &T) -> Self {
        self.puts.push(WirePut {
            key: key.to_string(),
            value: serde_json::to_value(value).unwrap_or_default(),
        });
        self
    }

    /// Adds a row to delete.
    #[must_use]
    pub fn delete(mut self, key: &Key) -> Self {
        self.deletes.push(key.to_string());
        self
    }
}

/// The versions of the rows that a transaction wrote.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq)]
pub struct Versions {
    versions: BTreeMap<String, Version>,
}

impl Versions {
    /// The version that `key` got.
    #[must_use]
    pub fn get(&self, key: &Key) -> Option<Version> {
        self.versions.get(&key.to_string()).copied()
    }
}

/// A row as it was read.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Row {
    /// Its key, see [`Key::parse`].
    pub key: String,
    /// Its version.
    pub version: Version,
    value: Value,
}

impl Row {
    /// The row's value as a `T`; nothing when it isn't one.
    #[must_use]
    pub fn value<T: DeserializeOwned>(&self) -> Option<T> {
        T::deserialize(&self.value).ok()
    }
}

/// One answer to a scan.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Page {
    /// Rows, sorted by key.
    pub rows: Vec<Row>,
    /// Whether there are rows after the last of these.
    pub more: bool,
}

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
