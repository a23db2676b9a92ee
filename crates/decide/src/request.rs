//! A request under way.

use std::time::Duration;

use kernel::{AttemptId, Money};

use crate::action::Session;
use crate::arrival::Work;
use crate::directory::Target;
use crate::knowledge::ClassIndex;
use crate::plan::Plan;
use crate::policy::{Priority, Repeat};
use crate::refusal::Run;
use crate::{attempt, key, replica};

slotmap::new_key_type! {
    /// A request under way.
    pub(crate) struct Key;
}

/// A request from its arrival to its end.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) id: key::Request,
    pub(crate) customer: key::Customer,
    pub(crate) work: Work,
    pub(crate) class: ClassIndex,
    pub(crate) priority: Priority,
    pub(crate) repeat: Repeat,
    pub(crate) deadline: Duration,
    pub(crate) plan: Plan,
    /// The step of the plan that is under way or waits.
    pub(crate) step: usize,
    pub(crate) session: Session,
    pub(crate) attempts: u32,
    /// What its attempts have cost.
    pub(crate) spent: Money,
    /// Whether any attempt may have run.
    pub(crate) run: Run,
    /// Its attempts in flight; two where it is hedged.
    pub(crate) flights: [Option<attempt::Key>; 2],
    /// An answer that was not good enough but is better than none.
    pub(crate) kept: Option<Kept>,
    /// Whether part of an answer has been passed on.
    pub(crate) relayed: bool,
    /// The endpoint of the attempt before.
    pub(crate) avoid: Option<replica::Key>,
    /// The version that failed it.
    pub(crate) failed: Option<key::Version>,
    /// Where it waits, if it does.
    pub(crate) waits: Option<Target>,
}

/// An answer that is kept in case no better one comes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Kept {
    pub(crate) attempt: AttemptId,
    pub(crate) version: key::Version,
}

impl Request {
    /// The tokens of the prompt; none for a plain call.
    pub(crate) fn prompt_tokens(&self) -> u32 {
        match &self.work {
            Work::Chat(chat) => chat.prompt_tokens,
            Work::Call(_) => 0,
        }
    }

    /// The hash of the prompt's start; 0 for none.
    pub(crate) fn prefix(&self) -> u64 {
        match &self.work {
            Work::Chat(chat) => chat.prefix,
            Work::Call(_) => 0,
        }
    }

    pub(crate) fn is_in_flight(&self) -> bool {
        self.flights.iter().any(Option::is_some)
    }

    pub(crate) fn took_off(&mut self, attempt: attempt::Key) {
        if let Some(free) = self.flights.iter_mut().find(|it| it.is_none()) {
            *free = Some(attempt);
        }
    }

    pub(crate) fn landed(&mut self, attempt: attempt::Key) {
        for it in &mut self.flights {
            if *it == Some(attempt) {
                *it = None;
            }
        }
    }
}
