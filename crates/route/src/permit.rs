//! That a request may go out to an endpoint at this moment.

use derive_more::Display;

/// That a request may go out to an endpoint at this moment.
///
/// Only [`crate::Router::permit`] makes one, for one attempt, and nothing is written to an
/// endpoint without it. Between the choice of an endpoint and the first byte a connection is
/// opened, and operators may empty the data centre meanwhile, or the endpoint say that it
/// leaves.
#[derive(Debug)]
#[must_use = "a request counts as sent"]
pub struct Permit(pub(crate) ());

/// Why nothing goes out to an endpoint that was chosen.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Withheld {
    /// Operators have emptied its data centre.
    #[display("emptied")]
    Emptied,
    /// It leaves, or is gone.
    #[display("leaving")]
    Leaving,
    /// It is cold, and this host's share of what it takes is used up.
    #[display("cold")]
    Cold,
}

impl Withheld {
    /// Every reason.
    pub const ALL: [Self; 3] = [Self::Emptied, Self::Leaving, Self::Cold];
}
