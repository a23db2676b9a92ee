//! Permission to send a request to an endpoint.

use derive_more::Display;

/// Permission to send one attempt's request to its endpoint now.
///
/// Only [`crate::Router::permit`] creates one, and nothing is written to an endpoint without
/// it. While the connection is opened, operators may evacuate the data centre, or the endpoint
/// may report that it is shutting down.
#[derive(Debug)]
#[must_use = "the request counts as sent from now on: send it"]
pub struct Permit(pub(crate) ());

/// The reason that a request may not be sent to the endpoint that was chosen.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Withheld {
    /// Operators have evacuated the endpoint's data centre.
    #[display("emptied")]
    Evacuated,
    /// The endpoint is shutting down or no longer listed.
    #[display("leaving")]
    Leaving,
    /// The endpoint's release gets no more requests.
    #[display("withdrawn")]
    Withdrawn,
    /// The endpoint is cold, and this host may not send it a request now.
    #[display("cold")]
    Cold,
    /// The endpoint states a request rate, and this host may not send it a request now.
    #[display("limited")]
    Limited,
    /// The endpoint exits if it refuses many requests, and has no room for one of this host.
    #[display("brittle")]
    Brittle,
}

impl Withheld {
    /// All variants.
    pub const ALL: [Self; 6] = [
        Self::Evacuated,
        Self::Leaving,
        Self::Withdrawn,
        Self::Cold,
        Self::Limited,
        Self::Brittle,
    ];
}
