//! The reasons for which a load report is not used.

/// The reason for which an endpoint's load report is not used. The request and placement go on
/// without it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum LoadError {
    /// The response has more than one report, even if they are equal.
    #[display("duplicate")]
    Duplicate,
    /// It has too few or too many figures.
    #[display("wrong_number")]
    WrongNumber,
    /// A figure is empty.
    #[display("empty")]
    Empty,
    /// A figure isn't a whole number in decimal digits.
    #[display("unreadable")]
    Unreadable,
    /// A figure is negative.
    #[display("negative")]
    Negative,
    /// A figure has more than 32 bits.
    #[display("overflow")]
    Overflow,
    /// The pace is 0, so work would take no time.
    #[display("zero_pace")]
    ZeroPace,
    /// It has no slots, or more requests are running than there are slots.
    #[display("impossible")]
    Impossible,
}

impl LoadError {
    /// All variants.
    pub const ALL: [Self; 8] = [
        Self::Duplicate,
        Self::WrongNumber,
        Self::Empty,
        Self::Unreadable,
        Self::Negative,
        Self::Overflow,
        Self::ZeroPace,
        Self::Impossible,
    ];
}
