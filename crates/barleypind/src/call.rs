//! A caller's call, from its arrival to the end of its answer.

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

use crate::host::{Host, Open};

pub(crate) use start::{chat, plain};

/// A call whose caller is known.
pub(crate) struct Call {
    pub(crate) number: decide::key::Request,
    pub(crate) request: RequestId,
    pub(crate) customer: Customer,
    pub(crate) headers: Headers,
    pub(crate) arrived: Duration,
    /// Holds the call's place among those that are open.
    pub(crate) open: Option<Open>,
}

impl Call {
    /// The ticket that came with the call, as the ledger takes it.
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

    /// A refusal before the ledger was asked about the call.
    fn refuse(&self, reason: Reason, detail: impl Into<String>) -> Problem {
        let run = unasked(self.headers.key.as_deref());
        Problem::new(reason, run, detail).of_request(self.request.as_str())
    }
}

/// What a refusal may say of a call that the ledger wasn't asked about.
///
/// Failure: a hold runs, its caller asks again under the same key, and the
/// repeat is turned away at the door, by a full host for instance. It shows as
/// `not_run` beside an execution. The guard: only a call without a key has no
/// other arrival that may have run.
pub(crate) fn unasked(key: Option<&str>) -> Run {
    match key {
        Some(_) => Run::Unknown,
        None => Run::NotRun,
    }
}
