//! Selection of versions.

use std::time::Duration;

use super::place::NextStep;
use super::{Decider, LastResortKey};
use crate::action::Session;
use crate::arrival::{Chat, Pin, Work};
use crate::directory::Target;
use crate::knowledge::{ClassIndex, Knowledge};
use crate::plan::{Plan, STEPS, Step};
use crate::policy::{Priority, RetryPolicy};
use crate::refusal::Reason;
use crate::request::Request;
use crate::tuning::PinnedSessions;
use crate::{Action, key, request};

/// Maximum shortfall of a version's expected quality below the target if it replaces a version
/// without capacity.
const MAX_SPILL_QUALITY_LOSS: f64 = 0.02;

/// The properties of a model request on which its plan depends.
pub(super) struct PlanInput {
    pub(super) profile: key::Profile,
    pub(super) customer: key::Customer,
    pub(super) class: ClassIndex,
    /// The maximum number of steps.
    pub(super) max_steps: usize,
    /// The share of requests of the class that are pinned to a version.
    pub(super) pinned_share: f64,
}

impl Decider {
    /// Returns the request's next step under the current policy. Called again before each dispatch,
    /// so that a version that was withdrawn in the meantime gets no more requests.
    pub(super) fn next_step(
        &mut self,
        now: Duration,
        key: request::Key,
        actions: &mut Vec<Action>,
    ) -> Result<NextStep, Reason> {
        let request = self.requests.get(key).ok_or(Reason::NoEndpoint)?;
        let chat = match &request.work {
            Work::Call(call) => {
                let target = Target::Service(call.service);
                let known = self.policy.services.get(call.service.index());
                known.ok_or(Reason::UnknownService)?;
                self.require_endpoint(target)?;
                let step = Step::default();
                return Ok(NextStep { target, step });
            }
            Work::Chat(chat) => chat.clone(),
        };
        let step = self.version_step(now, key, &chat, actions)?;
        let step = self.within_cost_cap(now, key, &chat, step)?;
        let target = Target::Version(step.version);
        Ok(NextStep { target, step })
    }

    /// Returns steps with other versions that could serve the request, the cheapest first.
    pub(super) fn alternatives(&mut self, now: Duration, key: request::Key) -> Vec<NextStep> {
        let Some(request) = self.requests.get(key) else {
            return Vec::new();
        };
        let Work::Chat(chat) = &request.work else {
            return Vec::new();
        };
        if request.session == Session::Kept || request.fallback.is_some() {
            return Vec::new();
        }
        let input = PlanInput::new(now, &self.knowledge, request, chat);
        let chat = chat.clone();
        let tried = request.plan.step(request.step).map(|it| it.version);
        let target = self.policy.profiles[chat.profile.index()].target;
        let mut it = self.forecasts(&input);
        it.retain(|it| {
            Some(it.version) != tried && it.quality() >= target - MAX_SPILL_QUALITY_LOSS
        });
        it.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        let nexts = it.into_iter().map(|it| NextStep {
            target: Target::Version(it.version),
            step: Step::last(it.version),
        });
        nexts
            .filter(|it| self.fits_cost_cap(key, &chat, it.step))
            .collect()
    }

    /// Returns a plan that doesn't use `failed`, or `None` if the request must keep its version or
    /// there is no other.
    pub(super) fn replacement_plan(
        &mut self,
        now: Duration,
        key: request::Key,
        failed: key::Version,
    ) -> Option<Plan> {
        let request = self.requests.get(key)?;
        let Work::Chat(chat) = &request.work else {
            return None;
        };
        if request.session == Session::Kept {
            return None;
        }
        let target = self.policy.profiles.get(chat.profile.index())?.target;
        let mut it = self.forecasts(&PlanInput::new(now, &self.knowledge, request, chat));
        it.retain(|it| it.version != failed);
        let enough = it.iter().filter(|it| it.quality() >= target);
        let best = enough
            .min_by(|a, b| a.cost.total_cmp(&b.cost))
            .or_else(|| it.iter().max_by(|a, b| a.quality().total_cmp(&b.quality())))?;
        Some(Plan::new(&[Step::last(best.version)]))
    }

    /// Returns the step of the pinned version if the session keeps it; else the current step if its
    /// version may still be used; else the first step of a new plan. Updates the request's plan and
    /// session. Fails with `NoEndpoint` if the kept version has no endpoint.
    fn version_step(
        &mut self,
        now: Duration,
        key: request::Key,
        chat: &Chat,
        actions: &mut Vec<Action>,
    ) -> Result<Step, Reason> {
        let request = &self.requests[key];
        let (customer, profile) = (request.customer, chat.profile);
        if profile.index() >= self.policy.profiles.len() {
            return Err(Reason::UnknownProfile);
        }
        if self.policy.allowed(profile, customer).is_empty() {
            return Err(Reason::NotAllowed);
        }
        if let Some(Pin::Version(pin)) = chat.pin
            && self.policy.permits(profile, customer, pin)
            && !self.must_leave(pin)
        {
            let step = Step::last(pin);
            let request = &mut self.requests[key];
            request.session = Session::Kept;
            request.plan = Plan::new(&[step]);
            request.step = 0;
            self.require_endpoint(Target::Version(pin))?;
            return Ok(step);
        }
        let step = request.plan.step(request.step);
        if let Some(step) = step.filter(|it| self.may_use(profile, customer, *it)) {
            return Ok(step);
        }
        let mut plan = self.plan(now, key, chat, actions)?;
        let request = &mut self.requests[key];
        if chat.pin.is_some() {
            // The request is no longer pinned, so that it isn't moved again.
            request.session = Session::Moved;
            if let Work::Chat(chat) = &mut request.work {
                chat.pin = None;
            }
        }
        if let (Some(_), Some(last)) = (request.fallback, plan.last()) {
            plan = Plan::new(&[Step::last(last.version)]);
        }
        request.plan = plan;
        request.step = 0;
        plan.step(0).ok_or(Reason::NoVersion)
    }

    /// Returns whether a session must leave a quarantined version, see
    /// `docs/design/decide-sessions.md`.
    fn must_leave(&self, pin: key::Version) -> bool {
        match self.tuning.pinned_sessions {
            PinnedSessions::Keep => false,
            PinnedSessions::Move => self.health.is_quarantined(pin),
        }
    }

    pub(super) fn may_use(
        &self,
        profile: key::Profile,
        customer: key::Customer,
        step: Step,
    ) -> bool {
        let healthy = step.is_probe()
            || !self.health.is_quarantined(step.version)
            || self.is_last_resort(profile, customer, step.version);
        healthy
            && self.policy.permits(profile, customer, step.version)
            && !self.directory.is_empty(Target::Version(step.version))
    }

    fn is_last_resort(
        &self,
        profile: key::Profile,
        customer: key::Customer,
        version: key::Version,
    ) -> bool {
        self.reported_last_resorts.contains(&LastResortKey {
            version,
            profile,
            customer,
        })
    }

    fn require_endpoint(&self, target: Target) -> Result<(), Reason> {
        if self.directory.is_empty(target) {
            return Err(Reason::NoEndpoint);
        }
        Ok(())
    }

    /// Returns `step`, or if it would exceed the cost cap, a step with the version of the highest
    /// expected quality within the cap. Fails with `CostCap` if `step` would exceed the cap and an
    /// attempt was already made, the session keeps its version, or no version fits.
    fn within_cost_cap(
        &mut self,
        now: Duration,
        key: request::Key,
        chat: &Chat,
        step: Step,
    ) -> Result<Step, Reason> {
        if self.fits_cost_cap(key, chat, step) {
            return Ok(step);
        }
        let request = &self.requests[key];
        if request.attempts > 0 || request.session == Session::Kept {
            return Err(Reason::CostCap);
        }
        let mut it = self.forecasts(&PlanInput::new(now, &self.knowledge, request, chat));
        it.retain(|it| self.fits_cost_cap(key, chat, Step::last(it.version)));
        let best = it.iter().max_by(|a, b| a.quality().total_cmp(&b.quality()));
        let step = Step::last(best.ok_or(Reason::CostCap)?.version);
        let request = &mut self.requests[key];
        request.plan = Plan::new(&[step]);
        request.step = 0;
        Ok(step)
    }

    fn fits_cost_cap(&self, key: request::Key, chat: &Chat, step: Step) -> bool {
        let cap = self.policy.profiles.get(chat.profile.index());
        let Some(cap) = cap.and_then(|it| it.cap) else {
            return true;
        };
        let spent = self.requests.get(key).map(|it| it.spent);
        spent.unwrap_or_default() + self.max_step_cost(key, step) <= cap
    }
}

impl PlanInput {
    pub(super) fn new(
        now: Duration,
        knowledge: &Knowledge,
        request: &Request,
        chat: &Chat,
    ) -> Self {
        let single =
            request.retry_policy == RetryPolicy::AtMostOnce || request.priority == Priority::Urgent;
        Self {
            profile: chat.profile,
            customer: request.customer,
            class: request.class,
            max_steps: if single { 1 } else { STEPS },
            pinned_share: knowledge.traffic(request.class).pinned_share(now),
        }
    }
}
