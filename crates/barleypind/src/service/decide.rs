//! The service that owns the decider.
//!
//! Calls use it directly under a short lock, since a queue would add the executor's scheduling
//! delay to every step of a call. Actions on one call are sent to that call's queue, all others
//! to the services that carry them out.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use decide::action::{Deliver, Relay, Session, Step, Verdict};
use decide::policy::Priority;
use decide::{
    Action, Arrival, Decider, Demand, Event, Evidence, Outcome, Policy, Refusal, Tuning, endpoint,
    key,
};
use futures::channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};
use kernel::{AttemptId, Money, Revision, VersionId};

use crate::host::Host;

/// An instruction of the decider to a call.
#[derive(Clone, Debug)]
pub(crate) enum Directive {
    /// Send an attempt.
    Dispatch(Dispatch),
    /// Abort an attempt.
    Cancel(AttemptId),
    /// Send this attempt's response to the rating service.
    Sample(AttemptId),
    /// Complete the call with an attempt's response.
    Deliver(Delivery),
    /// Complete the call with a refusal.
    Refuse(Refusal),
}

/// An attempt to be sent.
#[derive(Clone, Debug)]
pub(crate) struct Dispatch {
    pub(crate) attempt: AttemptId,
    pub(crate) endpoint: endpoint::Id,
    pub(crate) version: Option<VersionId>,
    pub(crate) relay: Relay,
    pub(crate) timeout: Duration,
    pub(crate) revision: Revision,
    pub(crate) session: Session,
    pub(crate) number: u32,
    pub(crate) priority: Priority,
}

/// The completion of a call with an attempt's response.
#[derive(Clone, Debug)]
pub(crate) struct Delivery {
    pub(crate) attempt: AttemptId,
    pub(crate) version: Option<VersionId>,
    pub(crate) cost: Money,
    pub(crate) attempts: u32,
}

/// A decider action that isn't specific to one call.
#[derive(Clone, Debug)]
pub(crate) enum DeciderEffect {
    /// Evidence for the other hosts.
    Evidence(Evidence),
    /// This host's demand, for the other hosts.
    Demand(Demand),
    /// The verdict on a version changed.
    Verdict(VersionId, Verdict),
    /// A quarantined version is used as a last resort.
    LastResort(VersionId),
    /// The roll-out of a version requests a step.
    Step(VersionId, Step),
}

/// A shared handle of the decider.
pub(crate) struct DeciderHandle {
    core: Mutex<Core>,
    host: Arc<Host>,
    effects: UnboundedSender<DeciderEffect>,
}

struct Core {
    decider: Decider,
    policy: Arc<Policy>,
    calls: HashMap<key::Request, UnboundedSender<Directive>>,
    attempts: HashMap<AttemptId, key::Request>,
    actions: Vec<Action>,
}

impl DeciderHandle {
    /// Returns a decider without a policy, and the queue of its actions for other services.
    pub(crate) fn new(
        host: Arc<Host>,
        seed: u64,
        tuning: Tuning,
    ) -> (Arc<Self>, UnboundedReceiver<DeciderEffect>) {
        let (effects, receiver) = unbounded();
        let core = Core {
            decider: Decider::new(seed, tuning),
            policy: Arc::default(),
            calls: HashMap::new(),
            attempts: HashMap::new(),
            actions: Vec::new(),
        };
        let decider_handle = Self {
            core: Mutex::new(core),
            host,
            effects,
        };
        (Arc::new(decider_handle), receiver)
    }

    /// Passes a call to the decider and returns the call's queue of directives.
    ///
    /// `arrival` builds the arrival from the decider's present policy and uses that policy's keys.
    ///
    /// # Errors
    /// Returns the error of `arrival`. The decider then has no record of the call.
    pub(crate) fn arrive<E>(
        &self,
        arrival: impl FnOnce(&Policy) -> Result<Arrival, E>,
    ) -> Result<UnboundedReceiver<Directive>, E> {
        let (sender, receiver) = unbounded();
        self.with(|core, now| {
            let policy = Arc::clone(&core.policy);
            let arrival = arrival(&policy)?;
            core.calls.insert(arrival.request, sender);
            core.decider
                .handle(now, Event::Arrive(arrival), &mut core.actions);
            Ok(receiver)
        })
    }

    /// Reports the first byte of an attempt's response. Once this returns, all cancellations that
    /// follow from it are in the call's queue.
    pub(crate) fn started(&self, attempt: AttemptId) {
        self.handle(Event::Started { attempt });
    }

    /// Reports the outcome of an attempt.
    pub(crate) fn ended(&self, attempt: AttemptId, outcome: Outcome) {
        self.with(|core, now| {
            core.attempts.remove(&attempt);
            let event = Event::Ended { attempt, outcome };
            core.decider.handle(now, event, &mut core.actions);
        });
    }

    /// Reports that the call is given up, for instance because its caller disconnected.
    pub(crate) fn cancelled(&self, request: key::Request) {
        self.with(|core, now| {
            let event = Event::Cancelled { request };
            core.decider.handle(now, event, &mut core.actions);
        });
        self.with(|core, _| core.calls.remove(&request));
    }

    /// Puts a policy in force unless a newer one is.
    pub(crate) fn configure(&self, policy: Arc<Policy>) {
        self.with(|core, now| {
            if policy.revision >= core.policy.revision {
                core.policy = Arc::clone(&policy);
                core.decider
                    .handle(now, Event::Configure(policy), &mut core.actions);
            }
        });
    }

    /// Returns the endpoints that the decider sends to and whose load it needs.
    pub(crate) fn watched(&self) -> Vec<endpoint::Id> {
        let core = self.core.lock().unwrap_or_else(PoisonError::into_inner);
        core.decider.watched()
    }

    /// Returns the evidence of this host, for a host that starts.
    pub(crate) fn digest(&self) -> Evidence {
        let core = self.core.lock().unwrap_or_else(PoisonError::into_inner);
        core.decider.digest()
    }

    /// Passes any other event to the decider.
    pub(crate) fn handle(&self, event: Event) {
        self.with(|core, now| core.decider.handle(now, event, &mut core.actions));
    }

    fn with<T>(&self, work: impl FnOnce(&mut Core, Duration) -> T) -> T {
        let mut core = self.core.lock().unwrap_or_else(PoisonError::into_inner);
        let start = Instant::now();
        // Read the time under the lock, so that it never decreases for the decider.
        let now = self.host.now();
        let result = work(&mut core, now);
        core.route(&self.effects);
        drop(core);
        self.host.metrics.decided(start.elapsed());
        result
    }
}

impl Core {
    /// Sends the actions to their receivers. Actions for a call that has ended, or for a service
    /// that has stopped during the exit of the process, are dropped.
    fn route(&mut self, effects: &UnboundedSender<DeciderEffect>) {
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            match self.translate(action) {
                Destination::Call(request, directive) => {
                    if let Some(call) = self.calls.get(&request) {
                        let _ = call.unbounded_send(directive);
                    }
                }
                Destination::CallEnd(request, directive) => {
                    if let Some(call) = self.calls.remove(&request) {
                        let _ = call.unbounded_send(directive);
                    }
                }
                Destination::Effect(effect) => {
                    let _ = effects.unbounded_send(effect);
                }
                Destination::Dropped => {}
            }
        }
        self.actions = actions;
    }

    fn translate(&mut self, action: Action) -> Destination {
        match action {
            Action::Dispatch(it) => {
                self.attempts.insert(it.attempt, it.request);
                Destination::Call(
                    it.request,
                    Directive::Dispatch(Dispatch {
                        attempt: it.attempt,
                        endpoint: it.endpoint,
                        version: it.version.map(|it| self.version(it)),
                        relay: it.relay,
                        timeout: it.timeout,
                        revision: it.revision,
                        session: it.session,
                        number: it.number,
                        priority: it.priority,
                    }),
                )
            }
            Action::Cancel { attempt } => match self.attempts.remove(&attempt) {
                Some(request) => Destination::Call(request, Directive::Cancel(attempt)),
                None => Destination::Dropped,
            },
            Action::Sample {
                request, attempt, ..
            } => Destination::Call(request, Directive::Sample(attempt)),
            Action::Deliver(it) => {
                Destination::CallEnd(it.request, Directive::Deliver(self.delivery(it)))
            }
            Action::Refuse { request, refusal } => {
                Destination::CallEnd(request, Directive::Refuse(refusal))
            }
            Action::Publish(evidence) => Destination::Effect(DeciderEffect::Evidence(evidence)),
            Action::Demand(demand) => Destination::Effect(DeciderEffect::Demand(demand)),
            Action::Version { version, verdict } => {
                Destination::Effect(DeciderEffect::Verdict(self.version(version), verdict))
            }
            Action::LastResort { version, .. } => {
                Destination::Effect(DeciderEffect::LastResort(self.version(version)))
            }
            Action::Step(step) => {
                Destination::Effect(DeciderEffect::Step(self.version(step.version), step))
            }
        }
    }

    fn delivery(&self, deliver: Deliver) -> Delivery {
        Delivery {
            attempt: deliver.attempt,
            version: deliver.version.map(|it| self.version(it)),
            cost: deliver.cost,
            attempts: deliver.attempts,
        }
    }

    /// Returns the id of the version with this key. The decider's keys are those of the policy
    /// that it was given last, which is the one kept here.
    fn version(&self, key: key::Version) -> VersionId {
        self.policy
            .versions
            .get(key.index())
            .map_or_else(|| VersionId::from("unknown@0"), |it| it.id.clone())
    }
}

enum Destination {
    Call(key::Request, Directive),
    CallEnd(key::Request, Directive),
    Effect(DeciderEffect),
    Dropped,
}
