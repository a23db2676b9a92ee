//! The decision core, one decider an entry host, behind the routers' messages.

mod host;
mod names;
mod policy;

use std::{sync::Arc, time::Duration};

use decide::{
    Action, Arrival as Request, Event, Tuning,
    action::{Dispatch, Relay as CoreRelay, Verdict},
    arrival::{Call, Chat, Pin, Work},
    event::{Quality, Rating},
    key,
};

use self::{host::Host, names::Names};
use super::{Input, Output};
use crate::{
    arrival::Arrival, attempt::Relay, configuration::Configuration, truth::VersionIdx,
    workload::World,
};

/// All entry hosts of a fleet.
pub(crate) struct Core {
    world: World,
    names: Names,
    seed: u64,
    configuration: Configuration,
    hosts: Vec<Host>,
    actions: Vec<Action>,
}

/// What one host tells the others.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum News {
    Evidence(decide::Evidence),
    Demand(decide::Demand),
    Verdict(VersionIdx, Verdict),
}

impl Core {
    pub(crate) fn new(world: &World, seed: u64) -> Self {
        let mut core = Self {
            world: world.clone(),
            names: Names::new(world),
            seed,
            configuration: Configuration::new(),
            hosts: Vec::new(),
            actions: Vec::new(),
        };
        core.hosts = (0..world.hosts)
            .map(|host| Host::new(&core.names, core.seed, host, 0))
            .collect();
        for host in 0..world.hosts {
            core.introduce(Duration::ZERO, host);
        }
        core
    }

    pub(crate) fn tick() -> Duration {
        Tuning::default().tick
    }

    /// An empty decider takes a host's place and is handed what another has learned.
    pub(crate) fn replace(&mut self, now: Duration, host: usize) {
        self.hosts[host].replace(&self.names, self.seed, host);
        self.introduce(now, host);
        let peer = (host + 1) % self.hosts.len();
        let digest = Event::Digest(self.hosts[peer].decider.digest());
        self.pass(now, host, digest, &mut Vec::new());
    }

    pub(crate) fn handle(
        &mut self,
        now: Duration,
        host: usize,
        input: &Input<'_>,
        outputs: &mut Vec<Output>,
    ) {
        if let Input::Configured(configuration) = input {
            self.configuration = (*configuration).clone();
        }
        if let Some(event) = self.event(now, host, input) {
            self.pass(now, host, event, outputs);
        }
    }

    /// Tells a new host what every host knows.
    fn introduce(&mut self, now: Duration, host: usize) {
        let live = u32::try_from(self.world.hosts).unwrap_or(1);
        let mut events = vec![self.configure(), Event::Hosts { live }];
        let all = 0..self.names.endpoints.len();
        events.extend(all.map(|it| self.hosts[host].update(&self.names, host, it)));
        for event in events {
            self.pass(now, host, event, &mut Vec::new());
        }
    }

    fn pass(&mut self, now: Duration, host: usize, event: Event, outputs: &mut Vec<Output>) {
        let mut actions = std::mem::take(&mut self.actions);
        self.hosts[host].decider.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.carry_out(host, action, outputs);
        }
        self.actions = actions;
    }

    fn configure(&self) -> Event {
        Event::Configure(Arc::new(policy::compile(&self.world, &self.configuration)))
    }

    fn event(&mut self, now: Duration, host: usize, input: &Input<'_>) -> Option<Event> {
        let event = match input {
            Input::Arrive { arrival, pin } => Event::Arrive(self.request(now, arrival, *pin)),
            Input::Started { attempt } => Event::Started {
                attempt: self.hosts[host].number(*attempt)?,
            },
            Input::Ended { attempt, end } => Event::Ended {
                attempt: self.hosts[host].number(*attempt)?,
                outcome: end.outcome(),
            },
            Input::Cancelled { request } => Event::Cancelled {
                request: key::Request(number(*request)),
            },
            Input::Load {
                endpoint,
                load,
                age,
            } => {
                self.hosts[host].endpoints[*endpoint].load = Some((*load, *age));
                self.hosts[host].update(&self.names, host, *endpoint)
            }
            Input::Endpoint {
                endpoint,
                incarnation,
                up,
            } => {
                self.hosts[host].set_endpoint(*endpoint, *incarnation, *up);
                self.hosts[host].update(&self.names, host, *endpoint)
            }
            Input::Rated {
                request,
                version,
                class,
                good,
            } => Event::Rated(Rating {
                request: key::Request(number(*request)),
                version: names::version_id(*version),
                class: self.names.class(*class),
                quality: if *good { Quality::Good } else { Quality::Bad },
            }),
            Input::News(News::Evidence(it)) => Event::Evidence(it.clone()),
            Input::News(News::Demand(it)) => Event::Demand(it.clone()),
            Input::News(News::Verdict(version, verdict)) => Event::Verdict {
                version: names::version_id(*version),
                verdict: *verdict,
            },
            Input::Configured(_) => self.configure(),
            Input::Hosts { live } => Event::Hosts {
                live: u32::try_from(*live).unwrap_or(1),
            },
            Input::Tick => Event::Tick,
        };
        Some(event)
    }

    fn request(&self, now: Duration, arrival: &Arrival, pin: Option<VersionIdx>) -> Request {
        let class = self.world.class(arrival.class);
        let work = match self.names.profile(arrival.class) {
            Some(profile) => Work::Chat(Chat {
                profile,
                class: self.names.class(arrival.class),
                prompt_tokens: arrival.prompt,
                max_tokens: 0,
                prefix: arrival.session.map_or(0, |it| number(it) + 1),
                pin: pin.map(|it| Pin::Version(names::version_key(it))),
            }),
            None => Work::Call(Call {
                service: key::Service::at(0),
                retry_policy: Some(policy::repeat(class)),
            }),
        };
        Request {
            request: key::Request(number(arrival.idx)),
            customer: key::Customer::at(arrival.customer),
            work,
            priority: Some(policy::priority(class.priority)),
            deadline: Some(now + class.deadline),
        }
    }

    fn carry_out(&self, host: usize, action: Action, outputs: &mut Vec<Output>) {
        if let Action::Version { version, verdict } = &action {
            let news = News::Verdict(names::version(*version), *verdict);
            outputs.push(Output::Broadcast(Arc::new(news)));
        }
        outputs.extend(self.output(host, action));
    }

    fn output(&self, host: usize, action: Action) -> Option<Output> {
        let key = |attempt| self.hosts[host].key(host, attempt);
        let output = match action {
            Action::Dispatch(it) => self.dispatch(host, &it)?,
            Action::Deliver(it) => Output::Deliver {
                request: index(it.request),
                attempt: key(it.attempt),
            },
            Action::Refuse { request, refusal } => Output::Refuse {
                request: index(request),
                reason: names::reason(refusal.reason),
            },
            Action::Cancel { attempt } => Output::Cancel {
                attempt: key(attempt),
            },
            Action::Publish(it) => Output::Broadcast(Arc::new(News::Evidence(it))),
            Action::Demand(it) => Output::Broadcast(Arc::new(News::Demand(it))),
            Action::Sample { attempt, .. } => Output::Sample {
                attempt: key(attempt),
            },
            Action::Version { version, verdict } => Output::Verdict {
                version: names::version(version),
                verdict,
            },
            Action::LastResort { .. } => return None,
            Action::Step(it) => Output::Step {
                version: names::version(it.version),
                to: it.to,
                revision: it.revision,
            },
        };
        Some(output)
    }

    fn dispatch(&self, host: usize, it: &Dispatch) -> Option<Output> {
        Some(Output::Dispatch {
            attempt: self.hosts[host].key(host, it.attempt),
            request: index(it.request),
            endpoint: self.names.endpoint(it.endpoint)?,
            version: it.version.map(names::version),
            priority: names::priority(it.priority),
            relay: match it.relay {
                CoreRelay::Now => Relay::Now,
                CoreRelay::AfterCheck => Relay::AfterCheck,
            },
            timeout: Some(it.timeout),
        })
    }
}

fn number(idx: usize) -> u64 {
    u64::try_from(idx).unwrap_or(u64::MAX)
}

fn index(request: key::Request) -> usize {
    usize::try_from(request.0).unwrap_or(usize::MAX)
}
