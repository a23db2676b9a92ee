//! Changes of the policy and of endpoints.

use std::sync::Arc;
use std::time::Duration;

use super::{Decider, Limits, Readiness};
use crate::arrival::{Pin, Work};
use crate::directory::Target;
use crate::endpoint::Update;
use crate::limiter::Limiter;
use crate::monitor::Monitor;
use crate::plan::Plan;
use crate::request::{self, Request};
use crate::rollout_controller::RolloutController;
use crate::{Action, Policy, key};

/// Maps the keys of one policy to those of another, by index.
struct KeyMap {
    versions: Vec<Option<key::Version>>,
    profiles: Vec<Option<key::Profile>>,
    customers: Vec<Option<key::Customer>>,
    services: Vec<Option<key::Service>>,
}

impl Decider {
    /// Applies a policy. A revision lower than the present one arrived out of order and is ignored,
    /// so that the policy never reverts.
    pub(super) fn configure(
        &mut self,
        now: Duration,
        policy: Arc<Policy>,
        actions: &mut Vec<Action>,
    ) {
        let configured = self.readiness == Readiness::Configured;
        if configured && policy.revision < self.policy.revision {
            return;
        }
        self.readiness = Readiness::Configured;
        let waiting = self.take_waiting();
        let to_new = KeyMap::new(&self.policy, &policy);
        let to_old = KeyMap::new(&policy, &self.policy);
        let old = std::mem::replace(&mut self.policy, policy);
        self.knowledge.configure(&self.policy, &to_old.versions);
        self.health.configure(&self.policy, &to_old.versions);
        self.pools
            .configure(&self.policy, &to_old.versions, &to_old.services);
        self.plans.configure(&self.policy);
        self.directory.configure(&self.policy);
        self.remap_limits(now, &old, &to_old.customers);
        self.renew_rollout_controllers(now);
        self.reported_last_resorts.clear();
        self.hedgeable.clear();
        for attempt in self.attempts.iter_mut() {
            to_new.remap_target(&mut attempt.target);
            let version = attempt.step.version;
            attempt.step.version = to_new.version(version);
        }
        for cut in &mut self.cut_responses {
            cut.version = to_new.version(cut.version);
        }
        for request in self.requests.values_mut() {
            to_new.remap_request(request);
        }
        for key in waiting {
            self.place(now, key, actions);
        }
    }

    /// Applies an update of an endpoint and dispatches requests queued for its versions or service.
    pub(super) fn endpoint(&mut self, now: Duration, update: &Update, actions: &mut Vec<Action>) {
        let before = self.directory.availability_hash();
        let key = self.directory.update(now, &self.policy, update);
        if self.directory.availability_hash() != before {
            // A version or service got its first endpoint or lost its last one.
            self.plans.invalidate();
        }
        if let Some(key) = key {
            self.drain_replica(now, key, actions);
        }
    }

    /// Removes all requests from the queues and returns them. Those of one queue are in order of
    /// priority; within a priority, customer by customer, each in the order of its backlog.
    fn take_waiting(&mut self) -> Vec<request::Key> {
        let mut waiting = Vec::new();
        for target in self.pools.queued_targets() {
            let Some(pool) = self.pools.get_mut(target) else {
                continue;
            };
            while let Some(key) = pool.queue.pop() {
                if let Some(request) = self.requests.get_mut(key) {
                    request.waiting_for = None;
                    waiting.push(key);
                }
            }
        }
        waiting
    }

    fn remap_limits(&mut self, now: Duration, old: &Policy, from: &[Option<key::Customer>]) {
        let mut limits: Vec<Option<Limits>> = self.limiters.drain(..).map(Some).collect();
        debug_assert_eq!(limits.len(), old.customers.len());
        let live = f64::from(self.live_hosts);
        for (customer, was) in self.policy.customers.iter().zip(from) {
            let known = was.and_then(|it| limits.get_mut(it.index())?.take());
            self.limiters.push(known.unwrap_or_else(|| Limits {
                chat: Limiter::new(now, customer, live),
                calls: Limiter::new(now, customer, live),
            }));
        }
        self.peers.configure(from);
    }

    fn renew_rollout_controllers(&mut self, now: Duration) {
        let old = std::mem::take(&mut self.rollout_controllers);
        for rollout in &self.policy.rollouts {
            let known = old.iter().find(|it| it.is_of(rollout));
            let totals = self.health.get(rollout.version).map(Monitor::totals);
            let totals = totals.unwrap_or_default();
            self.rollout_controllers.push(RolloutController::new(
                now,
                &self.policy,
                rollout,
                totals,
                known,
            ));
        }
    }
}

impl KeyMap {
    fn new(from: &Policy, to: &Policy) -> Self {
        let versions = from.versions.iter().map(|it| to.version(&it.id));
        let profiles = from.profiles.iter().map(|it| to.profile(&it.name));
        let customers = from.customers.iter().map(|it| to.customer(&it.name));
        let services = from.services.iter().map(|it| to.service(&it.name));
        Self {
            versions: versions.collect(),
            profiles: profiles.collect(),
            customers: customers.collect(),
            services: services.collect(),
        }
    }

    /// Returns the new key of a version. A removed version gets a key that is in no policy, so that
    /// it can't be used.
    fn version(&self, old: key::Version) -> key::Version {
        let new = self.versions.get(old.index()).copied().flatten();
        new.unwrap_or(key::Version(u16::MAX))
    }

    fn remap_target(&self, target: &mut Target) {
        *target = match *target {
            Target::Version(old) => Target::Version(self.version(old)),
            Target::Service(old) => Target::Service(self.service(old)),
        };
    }

    fn service(&self, old: key::Service) -> key::Service {
        let new = self.services.get(old.index()).copied().flatten();
        new.unwrap_or(key::Service(u16::MAX))
    }

    fn remap_request(&self, request: &mut Request) {
        let customer = self.customers.get(request.customer.index());
        request.customer = customer
            .copied()
            .flatten()
            .unwrap_or(key::Customer(u16::MAX));
        match &mut request.work {
            Work::Call(call) => call.service = self.service(call.service),
            Work::Chat(chat) => {
                let profile = self.profiles.get(chat.profile.index());
                chat.profile = profile.copied().flatten().unwrap_or(key::Profile(u16::MAX));
                if let Some(Pin::Version(pin)) = chat.pin {
                    let pin = self.versions.get(pin.index()).copied().flatten();
                    chat.pin = Some(pin.map_or(Pin::Gone, Pin::Version));
                }
            }
        }
        let steps: Vec<_> = request.plan.steps().to_vec();
        let mut steps = steps;
        for step in &mut steps {
            step.version = self.version(step.version);
        }
        request.plan = Plan::new(&steps);
        request.last_failed_version = request.last_failed_version.map(|it| self.version(it));
        if let Some(fallback) = &mut request.fallback {
            fallback.version = self.version(fallback.version);
        }
    }
}
