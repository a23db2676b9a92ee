//! The decider.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use kernel::{AttemptId, Money};
use rand_pcg::Pcg64Mcg;

use crate::action::{Deliver, Dispatch, Relay, Session};
use crate::arrival::{Chat, Pin, Work};
use crate::endpoint::{Role, State, Update};
use crate::event::Event;
use crate::outcome::Outcome;
use crate::policy::{Priority, Repeat};
use crate::refusal::{Reason, Refusal, Run};
use crate::{Action, Arrival, Policy, Tuning, endpoint, key};

const MAX_ATTEMPTS: u32 = 4;

/// Decides for one entry host.
pub struct Decider {
    tuning: Tuning,
    _random: Pcg64Mcg,
    policy: Option<Arc<Policy>>,
    endpoints: Vec<Update>,
    requests: HashMap<key::Request, Pending>,
    attempts: HashMap<AttemptId, (key::Request, endpoint::Id)>,
    last_attempt: u64,
}

struct Pending {
    arrival: Arrival,
    deadline: Duration,
    repeat: Repeat,
    priority: Priority,
    version: Option<key::Version>,
    session: Session,
    attempts: u32,
    run: Run,
    started: bool,
}

impl Decider {
    /// A decider without policy or endpoints; it refuses all until it has them.
    #[must_use]
    pub fn new(seed: u64, tuning: Tuning) -> Self {
        Self {
            tuning,
            _random: Pcg64Mcg::new(u128::from(seed)),
            policy: None,
            endpoints: Vec::new(),
            requests: HashMap::new(),
            attempts: HashMap::new(),
            last_attempt: 0,
        }
    }

    /// The constants that it decides by.
    #[must_use]
    pub fn tuning(&self) -> &Tuning {
        &self.tuning
    }

    /// Takes an event at `now`, which never goes back, and appends what to do.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Configure(policy) => self.configure(policy),
            Event::Endpoint(update) => {
                self.endpoints.retain(|it| {
                    it.id.host != update.id.host || it.role_kind() != update.role_kind()
                });
                if update.state != State::Gone {
                    self.endpoints.push(update);
                }
            }
            Event::Arrive(arrival) => self.arrive(now, arrival, actions),
            Event::Started { attempt } => {
                let request = self.attempts.get(&attempt).map(|it| it.0);
                if let Some(pending) = request.and_then(|it| self.requests.get_mut(&it)) {
                    pending.started = true;
                }
            }
            Event::Ended { attempt, outcome } => self.end(now, attempt, outcome, actions),
            Event::Cancelled { request } => {
                self.requests.remove(&request);
                let attempts = self.attempts.iter().filter(|it| it.1.0 == request);
                let attempts: Vec<_> = attempts.map(|it| *it.0).collect();
                for attempt in attempts {
                    self.attempts.remove(&attempt);
                    actions.push(Action::Cancel { attempt });
                }
            }
            Event::Rated(_)
            | Event::Evidence(_)
            | Event::Verdict { .. }
            | Event::Hosts { .. }
            | Event::Demand(_)
            | Event::Tick => {}
        }
    }

    fn configure(&mut self, policy: Arc<Policy>) {
        if self
            .policy
            .as_ref()
            .is_none_or(|it| it.revision <= policy.revision)
        {
            self.policy = Some(policy);
        }
    }

    fn arrive(&mut self, now: Duration, arrival: Arrival, actions: &mut Vec<Action>) {
        let request = arrival.request;
        match self.admit(now, arrival) {
            Ok(pending) => {
                self.requests.insert(request, pending);
                self.dispatch(now, request, actions);
            }
            Err(reason) => actions.push(refuse(request, reason, Run::NotRun)),
        }
    }

    fn admit(&self, now: Duration, arrival: Arrival) -> Result<Pending, Reason> {
        let policy = self.policy.as_ref().ok_or(Reason::NotReady)?;
        let (repeat, priority, deadline) = match &arrival.work {
            Work::Chat(chat) => {
                let profile = policy.profiles.get(chat.profile.index());
                let profile = profile.ok_or(Reason::UnknownProfile)?;
                (profile.repeat, profile.priority, profile.deadline)
            }
            Work::Call(call) => {
                let service = policy.services.get(call.service.index());
                let service = service.ok_or(Reason::UnknownService)?;
                (
                    call.repeat.unwrap_or(service.repeat),
                    service.priority,
                    service.deadline,
                )
            }
        };
        Ok(Pending {
            deadline: arrival.deadline.unwrap_or(now + deadline),
            repeat,
            priority: arrival.priority.unwrap_or(priority),
            version: None,
            session: Session::Free,
            attempts: 0,
            run: Run::NotRun,
            started: false,
            arrival,
        })
    }

    fn dispatch(&mut self, now: Duration, request: key::Request, actions: &mut Vec<Action>) {
        let Some(policy) = self.policy.clone() else {
            return;
        };
        let Some(pending) = self.requests.get_mut(&request) else {
            return;
        };
        let run = pending.run;
        let choice = match &pending.arrival.work {
            Work::Chat(chat) => {
                choose(&policy, pending.arrival.customer, chat).map(|it| (Some(it.0), it.1))
            }
            Work::Call(_) => Ok((None, Session::Free)),
        };
        let choice = choice.and_then(|(version, session)| {
            let endpoint = find(&self.endpoints, &policy, &pending.arrival.work, version)?;
            Ok((version, session, endpoint))
        });
        let (version, session, endpoint) = match choice {
            Ok(it) => it,
            Err(reason) => {
                self.requests.remove(&request);
                return actions.push(refuse(request, reason, run));
            }
        };
        self.last_attempt += 1;
        pending.attempts += 1;
        pending.version = version;
        pending.session = session;
        let attempt = AttemptId(self.last_attempt);
        self.attempts.insert(attempt, (request, endpoint));
        actions.push(Action::Dispatch(Dispatch {
            request,
            attempt,
            endpoint,
            version,
            relay: Relay::Now,
            timeout: pending.deadline.saturating_sub(now),
            revision: policy.revision,
            session,
            number: pending.attempts,
            priority: pending.priority,
        }));
    }

    fn end(
        &mut self,
        now: Duration,
        attempt: AttemptId,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        let Some((request, _)) = self.attempts.remove(&attempt) else {
            return;
        };
        let Some(pending) = self.requests.get_mut(&request) else {
            return;
        };
        if !outcome.not_run() {
            pending.run = Run::Unknown;
        }
        let cost = match (outcome, pending.version, self.policy.as_ref()) {
            (Outcome::Answered(answer), Some(version), Some(policy)) => policy
                .versions
                .get(version.index())
                .map_or(Money::ZERO, |it| {
                    it.cost(answer.prompt_tokens.into(), answer.completion_tokens.into())
                }),
            _ => Money::ZERO,
        };
        match outcome {
            Outcome::Answered(_) | Outcome::Served => {
                if let (Some(version), Work::Chat(chat)) = (pending.version, &pending.arrival.work)
                {
                    actions.push(Action::Sample {
                        request,
                        attempt,
                        version,
                        class: chat.class,
                    });
                }
                actions.push(Action::Deliver(Deliver {
                    request,
                    attempt,
                    version: pending.version,
                    cost,
                    attempts: pending.attempts,
                }));
                self.requests.remove(&request);
            }
            _ if pending.started => {
                actions.push(refuse(request, Reason::AnswerCut, Run::Unknown));
                self.requests.remove(&request);
            }
            _ if pending.attempts < MAX_ATTEMPTS
                && (outcome.not_run() || pending.repeat == Repeat::Idempotent) =>
            {
                self.dispatch(now, request, actions);
            }
            _ => {
                actions.push(refuse(request, Reason::UpstreamFailed, pending.run));
                self.requests.remove(&request);
            }
        }
    }
}

impl Update {
    fn role_kind(&self) -> Option<&str> {
        match &self.role {
            Role::Engine(_) => None,
            Role::Service(name) => Some(name.as_str()),
        }
    }
}

fn choose(
    policy: &Policy,
    customer: key::Customer,
    chat: &Chat,
) -> Result<(key::Version, Session), Reason> {
    let allowed = policy.allowed(chat.profile, customer);
    if allowed.is_empty() {
        return Err(Reason::NotAllowed);
    }
    let permitted = |it: &key::Version| policy.permits(chat.profile, customer, *it);
    if let Some(Pin::Version(pin)) = chat.pin
        && permitted(&pin)
    {
        return Ok((pin, Session::Kept));
    }
    let session = if chat.pin.is_some() {
        Session::Moved
    } else {
        Session::Free
    };
    let strongest = allowed.iter().copied().filter(permitted);
    strongest
        .max_by_key(|it| policy.versions[it.index()].completion_price)
        .map(|it| (it, session))
        .ok_or(Reason::NoVersion)
}

fn find(
    endpoints: &[Update],
    policy: &Policy,
    work: &Work,
    version: Option<key::Version>,
) -> Result<endpoint::Id, Reason> {
    let serves = |it: &&Update| match (&it.role, work) {
        (Role::Engine(versions), Work::Chat(_)) => version
            .and_then(|it| policy.versions.get(it.index()))
            .is_some_and(|it| versions.contains(&it.id)),
        (Role::Service(name), Work::Call(call)) => policy
            .services
            .get(call.service.index())
            .is_some_and(|it| it.name == *name),
        _ => false,
    };
    let live = endpoints.iter().filter(|it| it.state == State::Live);
    live.filter(serves)
        .min_by_key(|it| it.load.map_or(0, |it| it.running + it.waiting))
        .map(|it| it.id)
        .ok_or(Reason::NoEndpoint)
}

fn refuse(request: key::Request, reason: Reason, run: Run) -> Action {
    let refusal = Refusal {
        reason,
        run,
        retry_after: None,
    };
    Action::Refuse { request, refusal }
}
