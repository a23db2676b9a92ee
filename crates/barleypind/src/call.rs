//! A caller's call, from its arrival to the end of its response.

pub(crate) mod attempt;
mod caller;
mod forward;
mod reason;
mod replay;
mod run;
mod start;
mod work;

use std::time::Duration;

use gate::call::Headers;
use gate::problem::{Problem, Reason, Run};
use gate::ticket::Ticket;
use kernel::{Customer, RequestId};
use ledger::Serial;

use crate::host::{Host, OpenCall};

pub(crate) use start::{chat, plain};

/// A call of an authenticated caller.
pub(crate) struct Call {
    pub(crate) number: decide::key::Request,
    pub(crate) request: RequestId,
    pub(crate) customer: Customer,
    pub(crate) headers: Headers,
    pub(crate) arrived: Duration,
    /// Counts the call as open until it is settled.
    pub(crate) open: Option<OpenCall>,
}

impl Call {
    /// Returns the call's ticket in the ledger's form.
    fn ticket(&self, host: &Host) -> Result<Option<ledger::Ticket>, Problem> {
        let Some(text) = &self.headers.ticket else {
            return Ok(None);
        };
        let ticket = Ticket::open(&host.secrets.ticket, text)?;
        Ok(Some(ledger::Ticket {
            home: ticket.incarnation,
            floor: Serial(ticket.floor),
            expires: host.now() + ticket.expiry.saturating_sub(host.clock.wall()),
        }))
    }

    /// Returns a refusal with the execution state that is certain without the ledger.
    fn refusal(&self, reason: Reason, detail: impl Into<String>) -> Problem {
        let run = run_without_ledger(self.headers.key.as_deref());
        Problem::new(reason, run, detail).of_request(self.request.as_str())
    }
}

/// Returns the execution state that is certain without the ledger.
///
/// Guards against `not_run` for a key whose earlier call has run: a hold runs, its caller retries
/// under the same key, and this host refuses the retry, for instance because it is full. Only a
/// call without a key has no other arrival that may have run.
pub(crate) fn run_without_ledger(key: Option<&str>) -> Run {
    match key {
        Some(_) => Run::Unknown,
        None => Run::NotRun,
    }
}
