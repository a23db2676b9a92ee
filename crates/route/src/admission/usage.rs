//! A customer's requests to a service.

use std::time::Duration;

use super::tally::Tally;

/// The time constant of recent requests. A burst of some seconds must show while it lasts, and the
/// count must not be too small to tell a burst from chance.
pub(super) const RECENT: Duration = Duration::from_secs(5);
/// The time constant of the usual load. Much longer than a burst, and long enough for a small
/// customer to send some tens of requests to one host.
pub(super) const USUAL: Duration = Duration::from_mins(5);

/// A customer's requests to a service, or those of all customers.
#[derive(Clone, Copy, Debug)]
pub(super) struct Usage {
    /// Recent requests.
    pub(super) arrived: Tally,
    /// Recent requests that were admitted.
    pub(super) admitted: Tally,
    /// Recent requests that were refused because the customer had used its share.
    pub(super) refused: Tally,
    /// Requests while capacity was not short, by the time without shortage.
    pub(super) usual: Tally,
}

impl Default for Usage {
    fn default() -> Self {
        Self {
            arrived: Tally::new(RECENT),
            admitted: Tally::new(RECENT),
            refused: Tally::new(RECENT),
            usual: Tally::new(USUAL),
        }
    }
}
