//! Requests in progress.

use std::time::Duration;

use kernel::{AttemptId, Money};

use crate::action::Session;
use crate::arrival::Work;
use crate::directory::Target;
use crate::knowledge::ClassIndex;
use crate::plan::Plan;
use crate::policy::{Priority, RetryPolicy};
use crate::refusal::Run;
use crate::{attempt, key, replica};

slotmap::new_key_type! {
    /// The key of a request in progress.
    pub(crate) struct Key;
}

/// A request between its arrival and its completion.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) id: key::Request,
    pub(crate) customer: key::Customer,
    pub(crate) work: Work,
    pub(crate) class: ClassIndex,
    pub(crate) priority: Priority,
    pub(crate) retry_policy: RetryPolicy,
    pub(crate) deadline: Duration,
    pub(crate) plan: Plan,
    /// The index of the plan's current step.
    pub(crate) step: usize,
    pub(crate) session: Session,
    pub(crate) attempts: u32,
    /// The total cost of its complete responses so far.
    pub(crate) spent: Money,
    /// Whether an endpoint may have run the request.
    pub(crate) run: Run,
    /// The attempts in flight; two if the request is hedged.
    pub(crate) in_flight: [Option<attempt::Key>; 2],
    /// The last response that wasn't accepted, delivered if no later one is. A probe's or
    /// exploration's response doesn't replace an earlier one; one of a version that is quarantined
    /// when it responds isn't kept.
    pub(crate) fallback: Option<Fallback>,
    /// Whether part of a response may have been relayed.
    pub(crate) relayed: bool,
    /// The endpoint of the last attempt that was retried or considered for hedging. It is avoided
    /// until a tick finds the request queued.
    pub(crate) avoided_replica: Option<replica::Key>,
    /// The version of the last failed attempt that may have run.
    pub(crate) last_failed_version: Option<key::Version>,
    /// The target whose queue the request is in, if any.
    pub(crate) waiting_for: Option<Target>,
}

/// A response to deliver if no later one is accepted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Fallback {
    pub(crate) attempt: AttemptId,
    pub(crate) version: key::Version,
}

impl Request {
    /// Returns the number of prompt tokens; zero for a call of a plain service.
    pub(crate) fn prompt_tokens(&self) -> u32 {
        match &self.work {
            Work::Chat(chat) => chat.prompt_tokens,
            Work::Call(_) => 0,
        }
    }

    /// Returns the hash of the start of the prompt; zero for none.
    pub(crate) fn prefix(&self) -> u64 {
        match &self.work {
            Work::Chat(chat) => chat.prefix,
            Work::Call(_) => 0,
        }
    }

    pub(crate) fn is_in_flight(&self) -> bool {
        self.in_flight.iter().any(Option::is_some)
    }

    pub(crate) fn add_attempt(&mut self, attempt: attempt::Key) {
        if let Some(free) = self.in_flight.iter_mut().find(|it| it.is_none()) {
            *free = Some(attempt);
        }
    }

    pub(crate) fn remove_attempt(&mut self, attempt: attempt::Key) {
        for it in &mut self.in_flight {
            if *it == Some(attempt) {
                *it = None;
            }
        }
    }
}
