//! The service that owns the decider.
//!
//! Calls reach it directly, under a short lock: a queue in between would put
//! the executor's scheduling delay into every step of every call. What it
//! decides about a call goes to that call's own queue, the rest to the
//! services that see to it.

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

/// What a call is told to do next.
#[derive(Clone, Debug)]
pub(crate) enum Directive {
    /// Make an attempt.
    Dispatch(Dispatch),
    /// Stop an attempt.
    Cancel(AttemptId),
    /// Send the answer of this attempt to the rating service.
    Sample(AttemptId),
    /// Done: the answer of this attempt is the caller's.
    Deliver(Delivery),
    /// Done: refuse.
    Refuse(Refusal),
}

/// An attempt to be made.
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

/// The answer that the caller gets.
#[derive(Clone, Debug)]
pub(crate) struct Delivery {
    pub(crate) attempt: AttemptId,
    pub(crate) version: Option<VersionId>,
    pub(crate) cost: Money,
    pub(crate) attempts: u32,
}

/// What concerns more than one call.
#[derive(Clone, Debug)]
pub(crate) enum Notice {
    /// To the other hosts.
    Evidence(Evidence),
    /// To the other hosts.
    Demand(Demand),
    /// A version was judged anew.
    Verdict(VersionId, Verdict),
    /// A quarantined version stays in use for want of another.
    LastResort(VersionId),
    /// A roll-out is to take a step.
    Step(VersionId, Step),
}

/// The owner of the decider.
pub(crate) struct Decide {
    core: Mutex<Core>,
    host: Arc<Host>,
    notices: UnboundedSender<Notice>,
}

struct Core {
    decider: Decider,
    policy: Arc<Policy>,
    calls: HashMap<key::Request, UnboundedSender<Directive>>,
    attempts: HashMap<AttemptId, key::Request>,
    actions: Vec<Action>,
}

impl Decide {
    /// A decider without policy, and the queue of what concerns other services.
    pub(crate) fn new(
        host: Arc<Host>,
        seed: u64,
        tuning: Tuning,
    ) -> (Arc<Self>, UnboundedReceiver<Notice>) {
        let (notices, receiver) = unbounded();
        let core = Core {
            decider: Decider::new(seed, tuning),
            policy: Arc::default(),
            calls: HashMap::new(),
            attempts: HashMap::new(),
            actions: Vec::new(),
        };
        let decide = Self {
            core: Mutex::new(core),
            host,
            notices,
        };
        (Arc::new(decide), receiver)
    }

    /// Passes in a call. `arrival` is built from the policy that the decider
    /// has, since the keys in it are that policy's.
    ///
    /// # Errors
    /// What `arrival` returns, and then nothing was passed in.
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

    /// Says that the first byte of an attempt's answer came. When this returns
    /// every cancellation that follows from it is in its call's queue.
    pub(crate) fn started(&self, attempt: AttemptId) {
        self.handle(Event::Started { attempt });
    }

    /// Says how an attempt ended.
    pub(crate) fn ended(&self, attempt: AttemptId, outcome: Outcome) {
        self.with(|core, now| {
            core.attempts.remove(&attempt);
            let event = Event::Ended { attempt, outcome };
            core.decider.handle(now, event, &mut core.actions);
        });
    }

    /// Says that the caller is gone.
    pub(crate) fn cancelled(&self, request: key::Request) {
        self.with(|core, now| {
            let event = Event::Cancelled { request };
            core.decider.handle(now, event, &mut core.actions);
        });
        self.with(|core, _| core.calls.remove(&request));
    }

    /// Puts a policy in force.
    pub(crate) fn configure(&self, policy: Arc<Policy>) {
        self.with(|core, now| {
            if policy.revision >= core.policy.revision {
                core.policy = Arc::clone(&policy);
                core.decider
                    .handle(now, Event::Configure(policy), &mut core.actions);
            }
        });
    }

    /// The endpoints that the decider sends to, whose load it has to know.
    pub(crate) fn watched(&self) -> Vec<endpoint::Id> {
        let core = self.core.lock().unwrap_or_else(PoisonError::into_inner);
        core.decider.watched()
    }

    /// What this host has learned, for one that starts.
    pub(crate) fn digest(&self) -> Evidence {
        let core = self.core.lock().unwrap_or_else(PoisonError::into_inner);
        core.decider.digest()
    }

    /// Passes in any other event.
    pub(crate) fn handle(&self, event: Event) {
        self.with(|core, now| core.decider.handle(now, event, &mut core.actions));
    }

    fn with<T>(&self, work: impl FnOnce(&mut Core, Duration) -> T) -> T {
        let mut core = self.core.lock().unwrap_or_else(PoisonError::into_inner);
        let began = Instant::now();
        // Read under the lock, so that time never goes back for the decider.
        let now = self.host.now();
        let result = work(&mut core, now);
        core.route(&self.notices);
        drop(core);
        self.host.metrics.decided(began.elapsed());
        result
    }
}

impl Core {
    /// Passes the actions on. A call that is gone has dropped its queue, and a
    /// process that is ending its services; what is meant for them is lost rightly.
    fn route(&mut self, notices: &UnboundedSender<Notice>) {
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            match self.translate(action) {
                Routed::Call(request, directive) => {
                    if let Some(call) = self.calls.get(&request) {
                        let _ = call.unbounded_send(directive);
                    }
                }
                Routed::Last(request, directive) => {
                    if let Some(call) = self.calls.remove(&request) {
                        let _ = call.unbounded_send(directive);
                    }
                }
                Routed::Notice(notice) => {
                    let _ = notices.unbounded_send(notice);
                }
                Routed::Nowhere => {}
            }
        }
        self.actions = actions;
    }

    fn translate(&mut self, action: Action) -> Routed {
        match action {
            Action::Dispatch(it) => {
                self.attempts.insert(it.attempt, it.request);
                Routed::Call(
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
                Some(request) => Routed::Call(request, Directive::Cancel(attempt)),
                None => Routed::Nowhere,
            },
            Action::Sample {
                request, attempt, ..
            } => Routed::Call(request, Directive::Sample(attempt)),
            Action::Deliver(it) => Routed::Last(it.request, Directive::Deliver(self.delivery(it))),
            Action::Refuse { request, refusal } => {
                Routed::Last(request, Directive::Refuse(refusal))
            }
            Action::Publish(evidence) => Routed::Notice(Notice::Evidence(evidence)),
            Action::Demand(demand) => Routed::Notice(Notice::Demand(demand)),
            Action::Version { version, verdict } => {
                Routed::Notice(Notice::Verdict(self.version(version), verdict))
            }
            Action::LastResort { version, .. } => {
                Routed::Notice(Notice::LastResort(self.version(version)))
            }
            Action::Step(step) => Routed::Notice(Notice::Step(self.version(step.version), step)),
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

    /// The version under the key. The decider's keys are those of the policy
    /// that it was given last, which is the one kept here.
    fn version(&self, key: key::Version) -> VersionId {
        self.policy
            .versions
            .get(key.index())
            .map_or_else(|| VersionId::from("unknown@0"), |it| it.id.clone())
    }
}

enum Routed {
    Call(key::Request, Directive),
    Last(key::Request, Directive),
    Notice(Notice),
    Nowhere,
}
