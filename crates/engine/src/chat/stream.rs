//! Streamed responses.

use std::time::Duration;

use async_std::future::timeout;
use http::Body;

use super::{Answer, Fault, Progress, Reader};
use crate::{Failure, FailureCause};

/// The maximum time to wait for the end of the body after the end marker. The response
/// is already complete. If the time is exceeded, the response is still returned, but the
/// connection isn't reused.
const BODY_END_TIMEOUT: Duration = Duration::from_millis(100);

/// A streamed response. Dropping it before its end closes the connection, which tells
/// the engine that the response is no longer needed.
#[derive(Debug)]
pub struct Stream {
    body: Body,
    reader: Reader,
    returned: usize,
    result: Option<Result<(), Failure>>,
}

impl Stream {
    pub(crate) fn new(body: Body, attempt: String) -> Self {
        Self {
            body,
            reader: Reader::new(attempt),
            returned: 0,
            result: None,
        }
    }

    /// Waits for more text and returns all text received since the last call, or `None`
    /// at the end of the stream or after a failure. Call [`Stream::finish`] to tell the two
    /// apart.
    pub async fn next(&mut self) -> Option<&str> {
        while self.returned == self.reader.content().len() && self.result.is_none() {
            self.result = self.read_more().await;
        }
        let new = &self.reader.content()[self.returned..];
        self.returned += new.len();
        (!new.is_empty()).then_some(new)
    }

    /// Returns the text received so far, also if the response is incomplete.
    #[must_use]
    pub fn content(&self) -> &str {
        self.reader.content()
    }

    /// Reads the remaining chunks and returns the complete response.
    ///
    /// # Errors
    /// Returns [`Failure::Cut`] if the response is incomplete, invalid, or belongs to
    /// another attempt.
    pub async fn finish(mut self) -> Result<Answer, Failure> {
        while self.result.is_none() {
            self.result = self.read_more().await;
        }
        match self.result {
            Some(Err(failure)) => Err(failure),
            _ => self.reader.finish().map_err(content_failure),
        }
    }

    async fn read_more(&mut self) -> Option<Result<(), Failure>> {
        if self.reader.progress() == Progress::Done {
            // The connection can be reused only after the body has been read to its end.
            let rest = timeout(BODY_END_TIMEOUT, self.read_rest()).await;
            return Some(rest.unwrap_or(Ok(())));
        }
        match self.body.piece().await {
            Ok(Some(piece)) => self
                .reader
                .feed(&piece)
                .err()
                .map(|it| Err(content_failure(it))),
            Ok(None) => Some(Ok(())),
            Err(err) => Some(Err(err.into())),
        }
    }

    /// Reads the body after the end marker and fails if it contains another event, invalid
    /// UTF-8 or an oversized line. Connection errors are ignored, because the response is already complete.
    async fn read_rest(&mut self) -> Result<(), Failure> {
        while let Ok(Some(piece)) = self.body.piece().await {
            self.reader.feed(&piece).map_err(content_failure)?;
        }
        Ok(())
    }
}

fn content_failure(fault: Fault) -> Failure {
    Failure::Cut(FailureCause::Content(fault))
}
