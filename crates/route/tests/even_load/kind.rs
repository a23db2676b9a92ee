//! Kinds of requests.

/// The kinds of requests that ask models (docs/design/hard-load.md).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    Long,
    Short,
    Tag,
}

impl Kind {
    pub(crate) const ALL: [Self; 3] = [Self::Long, Self::Short, Self::Tag];

    /// Returns the mean number of tokens in a prompt.
    pub(crate) fn mean_tokens(self) -> f64 {
        match self {
            Self::Long => 12_000.0,
            Self::Short => 826.0,
            Self::Tag => 2_368.0,
        }
    }

    pub(crate) fn priority(self) -> u8 {
        match self {
            Self::Short => 0,
            Self::Long => 1,
            Self::Tag => 2,
        }
    }

    pub(crate) fn path(self) -> &'static str {
        match self {
            Self::Long => "/long/",
            Self::Short => "/short/",
            Self::Tag => "/tag/",
        }
    }
}
