//! Admission and cancellation of requests.

use std::sync::Arc;
use std::time::Duration;

use kernel::Money;

use super::{Decider, Readiness};
use crate::action::Session;
use crate::arrival::{Call, Chat, Work};
use crate::knowledge::ClassIndex;
use crate::plan::Plan;
use crate::policy::{Priority, RetryPolicy};
use crate::refusal::{Reason, Refusal, Run};
use crate::request::{self, Request};
use crate::{Action, Arrival, key};

/// The policy's settings for a request.
struct RequestSettings {
    retry_policy: RetryPolicy,
    priority: Priority,
    deadline: Duration,
}

impl Decider {
    /// Admits a request and dispatches or queues it, or refuses it.
    pub(super) fn arrive(&mut self, now: Duration, arrival: Arrival, actions: &mut Vec<Action>) {
        let id = arrival.request;
        if self.by_id.contains_key(&id) {
            // The driver reused an id. A refusal would complete the first request a second time.
            return;
        }
        match self.admit(now, arrival) {
            Ok(key) => self.place(now, key, actions),
            Err(refusal) => actions.push(Action::Refuse {
                request: id,
                refusal,
            }),
        }
    }

    /// Drops the request of a caller that disconnected.
    pub(super) fn cancelled(&mut self, now: Duration, id: key::Request, actions: &mut Vec<Action>) {
        if let Some(key) = self.by_id.get(&id).copied() {
            self.close(now, key, actions);
        }
    }

    fn admit(&mut self, now: Duration, arrival: Arrival) -> Result<request::Key, Refusal> {
        if self.readiness == Readiness::Unconfigured {
            return Err(not_run(Reason::NotReady));
        }
        let settings = self.settings(&arrival).map_err(not_run)?;
        let deadline = arrival.deadline.unwrap_or(now + settings.deadline);
        if deadline <= now {
            return Err(not_run(Reason::Deadline));
        }
        self.admit_customer(now, &arrival)?;
        let class = self.record_arrival(now, &arrival.work);
        let id = arrival.request;
        let key = self.requests.insert(Request {
            id,
            customer: arrival.customer,
            work: arrival.work,
            class,
            priority: arrival.priority.unwrap_or(settings.priority),
            retry_policy: settings.retry_policy,
            deadline,
            plan: Plan::default(),
            step: 0,
            session: Session::Free,
            attempts: 0,
            spent: Money::ZERO,
            run: Run::NotRun,
            in_flight: [None; 2],
            fallback: None,
            relayed: false,
            avoided_replica: None,
            last_failed_version: None,
            waiting_for: None,
        });
        self.by_id.insert(id, key);
        self.retries
            .deposit(self.tuning.retry_share, MAX_SAVED_RETRIES);
        Ok(key)
    }

    fn settings(&self, arrival: &Arrival) -> Result<RequestSettings, Reason> {
        match &arrival.work {
            Work::Chat(chat) => self.chat_settings(arrival.customer, chat),
            Work::Call(call) => self.call_settings(call),
        }
    }

    fn chat_settings(
        &self,
        customer: key::Customer,
        chat: &Chat,
    ) -> Result<RequestSettings, Reason> {
        let profile = self.policy.profiles.get(chat.profile.index());
        let profile = profile.ok_or(Reason::UnknownProfile)?;
        if self.policy.allowed(chat.profile, customer).is_empty() {
            return Err(Reason::NotAllowed);
        }
        Ok(RequestSettings {
            retry_policy: profile.retry_policy,
            priority: profile.priority,
            deadline: profile.deadline,
        })
    }

    fn call_settings(&self, call: &Call) -> Result<RequestSettings, Reason> {
        let service = self.policy.services.get(call.service.index());
        let service = service.ok_or(Reason::UnknownService)?;
        Ok(RequestSettings {
            retry_policy: call.retry_policy.unwrap_or(service.retry_policy),
            priority: service.priority,
            deadline: service.deadline,
        })
    }

    fn admit_customer(&mut self, now: Duration, arrival: &Arrival) -> Result<(), Refusal> {
        let policy = Arc::clone(&self.policy);
        let at = arrival.customer.index();
        let limits = policy.customers.get(at).zip(self.limiters.get_mut(at));
        let Some((customer, limits)) = limits else {
            return Err(not_run(Reason::NotAllowed));
        };
        match arrival.work {
            Work::Chat(_) => limits.chat.admit(now, customer),
            Work::Call(_) => limits.calls.admit(now, customer),
        }
    }

    fn record_arrival(&mut self, now: Duration, work: &Work) -> ClassIndex {
        match work {
            Work::Chat(chat) => {
                let class = self.knowledge.class_index(chat.class);
                let pinned = u32::from(chat.pin.is_some());
                self.knowledge.record_arrival(class, chat.prompt_tokens);
                let known = self.knowledge.traffic_mut(class);
                known.record_requests(now, 1 - pinned, pinned);
                self.outbox.record_arrival(chat.class, pinned);
                class
            }
            Work::Call(_) => ClassIndex(0),
        }
    }
}

/// Maximum balance of the retry budget. It saves retries for a time in which many requests fail.
const MAX_SAVED_RETRIES: f64 = 20.0;

fn not_run(reason: Reason) -> Refusal {
    Refusal {
        reason,
        run: Run::NotRun,
        retry_after: None,
    }
}
