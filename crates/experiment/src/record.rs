use std::time::Duration;

use crate::truth::{Answer, VersionIdx};

/// What became of a request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Record {
    pub(crate) host: usize,
    pub(crate) fate: Fate,
    /// When the caller saw the first token.
    pub(crate) first: Option<Duration>,
    pub(crate) end: Duration,
    /// In millionths of a cent.
    pub(crate) cost: u64,
    pub(crate) dispatches: u32,
    /// The versions asked, each once.
    pub(crate) asked: Vec<VersionIdx>,
    /// A fault spoilt an answer that was made for it, delivered or not.
    pub(crate) touched: bool,
    /// An attempt went to a version whose withdrawal all hosts knew of.
    pub(crate) withdrawn: bool,
    /// Attempts that began to run.
    pub(crate) runs: u32,
    pub(crate) turn: Turn,
}

/// What a request was to its session.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Turn {
    /// It had no session, or no version yet.
    #[default]
    First,
    /// It came with the session's version.
    Pinned,
    /// It came with a version that still took work, and got another.
    Moved,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum Fate {
    #[default]
    Pending,
    /// With an answer; none at a plain service.
    Delivered(Option<(VersionIdx, Answer)>),
    Refused(&'static str),
}

impl Record {
    /// The answer of a model that the caller got.
    pub(crate) fn answer(&self) -> Option<(VersionIdx, Answer)> {
        match self.fate {
            Fate::Delivered(answer) => answer,
            Fate::Pending | Fate::Refused(_) => None,
        }
    }

    pub(crate) fn delivered(&self) -> bool {
        matches!(self.fate, Fate::Delivered(_))
    }
}
