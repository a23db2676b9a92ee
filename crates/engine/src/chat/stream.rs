//! A streamed answer on its way.

use std::time::Duration;

use async_std::future::timeout;
use http::Body;

use super::{Answer, Fault, Progress, Reader};
use crate::{Failure, Why};

/// Time for an engine to end its body after the end mark, after which the
/// connection is given up. The answer is whole without it.
const END_TIME: Duration = Duration::from_millis(100);

/// A streamed answer. Dropping it before its end closes the connection, and
/// the engine sees that nobody waits any more.
#[derive(Debug)]
pub struct Stream {
    body: Body,
    reader: Reader,
    given: usize,
    end: Option<Result<(), Failure>>,
}

impl Stream {
    pub(crate) fn new(body: Body, attempt: String) -> Self {
        Self {
            body,
            reader: Reader::new(attempt),
            given: 0,
            end: None,
        }
    }

    /// The text that came since the last call: one token, or more when they
    /// came faster than they were taken. Nothing at the end, see [`Stream::finish`].
    pub async fn next(&mut self) -> Option<&str> {
        while self.given == self.reader.content().len() && self.end.is_none() {
            self.end = self.step().await;
        }
        let new = &self.reader.content()[self.given..];
        self.given += new.len();
        (!new.is_empty()).then_some(new)
    }

    /// All text that has come, also that of an answer that was cut.
    #[must_use]
    pub fn content(&self) -> &str {
        self.reader.content()
    }

    /// Reads what is left and gives the whole answer.
    ///
    /// # Errors
    /// [`Failure::Cut`] when it isn't whole or isn't this attempt's.
    pub async fn finish(mut self) -> Result<Answer, Failure> {
        while self.end.is_none() {
            self.end = self.step().await;
        }
        match self.end {
            Some(Err(failure)) => Err(failure),
            _ => self.reader.finish().map_err(cut),
        }
    }

    async fn step(&mut self) -> Option<Result<(), Failure>> {
        if self.reader.progress() == Progress::Done {
            // Reading the body to its end lets the next request have the connection.
            let rest = timeout(END_TIME, self.read_rest()).await;
            return Some(rest.unwrap_or(Ok(())));
        }
        match self.body.piece().await {
            Ok(Some(piece)) => self.reader.feed(&piece).err().map(|it| Err(cut(it))),
            Ok(None) => Some(Ok(())),
            Err(err) => Some(Err(err.into())),
        }
    }

    /// Reads what follows the end mark, which must be no further part. What
    /// breaks there takes nothing from the answer.
    async fn read_rest(&mut self) -> Result<(), Failure> {
        while let Ok(Some(piece)) = self.body.piece().await {
            self.reader.feed(&piece).map_err(cut)?;
        }
        Ok(())
    }
}

fn cut(fault: Fault) -> Failure {
    Failure::Cut(Why::Content(fault))
}
