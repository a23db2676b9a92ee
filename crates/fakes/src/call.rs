//! An HTTP request, completely read and parsed.

use std::collections::BTreeMap;

use http_types::{Method, Request};
use percent_encoding::percent_decode_str;
use serde::de::DeserializeOwned;

use crate::response::Response;

/// A request to a stand-in.
#[derive(Clone, Debug)]
pub struct Call {
    /// The HTTP method.
    pub method: Method,
    /// The segments of the path, percent-decoded.
    pub path: Vec<String>,
    /// The query parameters, decoded; of a repeated one, the last value.
    pub query: BTreeMap<String, String>,
    /// The headers, with lower-case names; of a repeated header, the last value.
    pub headers: BTreeMap<String, String>,
    /// The complete body.
    pub body: Vec<u8>,
}

impl Call {
    /// Reads a request and its body.
    ///
    /// # Errors
    ///
    /// Returns an error when the body can't be read to its end.
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

    /// Returns the segments of the path as string slices, for slice patterns.
    #[must_use]
    pub fn segments(&self) -> Vec<&str> {
        self.path.iter().map(String::as_str).collect()
    }

    /// Returns the value of a header, or the empty string when it is missing.
    #[must_use]
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Returns a query parameter as a number; `None` when it is missing or not a number.
    #[must_use]
    pub fn number(&self, name: &str) -> Option<u64> {
        self.query.get(name)?.parse().ok()
    }

    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// Returns a response with status 400 and the parser's message when the body is invalid.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Response> {
        serde_json::from_slice(&self.body).map_err(|err| Response::error(400, &err.to_string()))
    }
}

fn decode(segment: &str) -> String {
    percent_decode_str(segment).decode_utf8_lossy().into_owned()
}
