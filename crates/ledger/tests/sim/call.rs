//! Calls and their results.

use std::time::Duration;

use ledger::{Arrival, Reason, Run};

/// One arrival of a call at a host.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) arrival: Arrival,
    pub(crate) host: usize,
    /// The call that another host forwarded as this one.
    pub(crate) relays: Option<String>,
    /// The time at which it was permitted.
    pub(crate) permitted: Option<Duration>,
    /// The time and kind of its result.
    pub(crate) result: Option<(Duration, Reply)>,
}

/// The result of a call for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Reply {
    Response,
    Refusal {
        reason: Option<Reason>,
        run: Run,
    },
    /// The host died.
    Lost,
}

/// One execution by the service.
#[derive(Clone, Debug)]
pub(crate) struct Execution {
    pub(crate) request: String,
    pub(crate) key: String,
}

impl Call {
    /// Returns customer, home and key, or the request ID without a key. The body is not part of it.
    pub(crate) fn identity(&self) -> String {
        let home = self.arrival.ticket.map_or(0, |ticket| ticket.home.0);
        let key = self.arrival.key.as_deref();
        let key = key.unwrap_or(self.arrival.request.as_str());
        format!("{}/{home}/{key}", self.arrival.customer)
    }
}
