//! One HTTP request, read whole and parsed at the edge.

use std::collections::BTreeMap;

use http_types::{Method, Request};
use percent_encoding::percent_decode_str;
use serde::de::DeserializeOwned;

use crate::answer::Answer;

/// A request as the stand-ins see it.
#[derive(Clone, Debug)]
pub struct Call {
    /// The HTTP method.
    pub method: Method,
    /// The path's segments, percent-decoded.
    pub path: Vec<String>,
    /// The query's pairs, decoded.
    pub query: BTreeMap<String, String>,
    /// The headers, with lower-case names.
    pub headers: BTreeMap<String, String>,
    /// The whole body.
    pub body: Vec<u8>,
}

impl Call {
    /// Reads a request and its body.
    ///
    /// # Errors
    ///
    /// When the body can't be read to its end.
    pub async fn read(mut req: Request) -> http_types::Result<Self> {
        let body = req.body_bytes().await?;
        let path = req
            .url()
            .path_segments()
            .map(|it| it.map(decode).collect())
            .unwrap_or_default();
        let query = req
            .url()
            .query_pairs()
            .map(|(key, value)| (key.into_owned(), value.into_owned()))
            .collect();
        let headers = req
            .iter()
            .map(|(name, values)| (name.as_str().to_owned(), values.last().as_str().to_owned()))
            .collect();
        Ok(Self {
            method: req.method(),
            path,
            query,
            headers,
            body,
        })
    }

    /// The path's segments as text, to match on.
    #[must_use]
    pub fn segments(&self) -> Vec<&str> {
        self.path.iter().map(String::as_str).collect()
    }

    /// A header's value, empty when it is missing.
    #[must_use]
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// A query value as a number.
    #[must_use]
    pub fn number(&self, name: &str) -> Option<u64> {
        self.query.get(name)?.parse().ok()
    }

    /// The body as JSON.
    ///
    /// # Errors
    ///
    /// An answer with status 400 that says what is wrong with the body.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Answer> {
        serde_json::from_slice(&self.body).map_err(|err| Answer::error(400, &err.to_string()))
    }
}

fn decode(segment: &str) -> String {
    percent_decode_str(segment).decode_utf8_lossy().into_owned()
}
