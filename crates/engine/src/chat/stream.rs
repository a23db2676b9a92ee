//! A streamed answer on its way.

use http::Body;

use super::{Answer, Fault, Progress, Reader};
use crate::{Failure, Why};

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
        let piece = match self.body.piece().await {
            Ok(Some(piece)) => piece,
            Ok(None) => return Some(Ok(())),
            // What broke after the end mark took nothing from the answer.
            Err(_) if self.reader.progress() == Progress::Done => return Some(Ok(())),
            Err(err) => return Some(Err(err.into())),
        };
        self.reader.feed(&piece).err().map(|it| Err(cut(it)))
    }
}

fn cut(fault: Fault) -> Failure {
    Failure::Cut(Why::Content(fault))
}
