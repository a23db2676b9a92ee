//! Adapts the decision core, with one decider for each entry host, to the routers' interface.

mod host;
mod id_map;
mod policy;

use std::{sync::Arc, time::Duration};

use decide::{
    Action, Arrival as CoreArrival, Event, Tuning,
    action::{Dispatch, Relay as CoreRelay, Verdict},
    arrival::{Call, Chat, Pin, Work},
    event::{Quality, Rating},
    key,
};

use self::{host::Host, id_map::IdMap};
use super::{Input, Output};
use crate::{
    arrival::Arrival, attempt::Relay, configuration::Configuration, ground_truth::VersionIdx,
    workload::World,
};

/// The deciders of all entry hosts.
pub(crate) struct Core {
    world: World,
    ids: IdMap,
    seed: u64,
    configuration: Configuration,
    hosts: Vec<Host>,
    actions: Vec<Action>,
}

/// An update that a host sends to the others.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum GossipUpdate {
    Evidence(decide::Evidence),
    Demand(decide::Demand),
    Verdict(VersionIdx, Verdict),
}

impl Core {
    pub(crate) fn new(world: &World, seed: u64) -> Self {
        let mut core = Self {
            world: world.clone(),
            ids: IdMap::new(world),
            seed,
            configuration: Configuration::new(),
            hosts: Vec::new(),
            actions: Vec::new(),
        };
        core.hosts = (0..world.hosts)
            .map(|host| Host::new(&core.ids, core.seed, host, 0))
            .collect();
        for host in 0..world.hosts {
            core.initialize_decider(Duration::ZERO, host);
        }
        core
    }

    pub(crate) fn tick() -> Duration {
        Tuning::default().tick
    }

    /// Replaces a host's decider by a new one, which gets a digest from another host.
    pub(crate) fn replace(&mut self, now: Duration, host: usize) {
        self.hosts[host].replace(&self.ids, self.seed, host);
        self.initialize_decider(now, host);
        let peer = (host + 1) % self.hosts.len();
        let digest = Event::Digest(self.hosts[peer].decider.digest());
        self.handle_event(now, host, digest, &mut Vec::new());
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
        if let Some(event) = self.convert_input(now, host, input) {
            self.handle_event(now, host, event, outputs);
        }
    }

    /// Sends the configuration, the number of hosts and the endpoints to a new decider.
    fn initialize_decider(&mut self, now: Duration, host: usize) {
        let live = u32::try_from(self.world.hosts).unwrap_or(1);
        let mut events = vec![self.configure_event(), Event::Hosts { live }];
        let all = 0..self.ids.endpoints.len();
        events.extend(all.map(|it| self.hosts[host].update(&self.ids, host, it)));
        for event in events {
            self.handle_event(now, host, event, &mut Vec::new());
        }
    }

    fn handle_event(
        &mut self,
        now: Duration,
        host: usize,
        event: Event,
        outputs: &mut Vec<Output>,
    ) {
        let mut actions = std::mem::take(&mut self.actions);
        self.hosts[host].decider.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.handle_action(host, action, outputs);
        }
        self.actions = actions;
    }

    fn configure_event(&self) -> Event {
        Event::Configure(Arc::new(policy::compile(&self.world, &self.configuration)))
    }

    fn convert_input(&mut self, now: Duration, host: usize, input: &Input<'_>) -> Option<Event> {
        let event = match input {
            Input::Arrive { arrival, pin } => Event::Arrive(self.to_arrival(now, arrival, *pin)),
            Input::Started { attempt } => Event::Started {
                attempt: self.hosts[host].attempt_id(*attempt)?,
            },
            Input::Ended { attempt, outcome } => Event::Ended {
                attempt: self.hosts[host].attempt_id(*attempt)?,
                outcome: outcome.to_core(),
            },
            Input::Cancelled { request } => Event::Cancelled {
                request: key::Request(to_u64(*request)),
            },
            Input::Load {
                endpoint,
                load,
                age,
            } => {
                self.hosts[host].endpoints[*endpoint].load = Some((*load, *age));
                self.hosts[host].update(&self.ids, host, *endpoint)
            }
            Input::Endpoint {
                endpoint,
                incarnation,
                up,
            } => {
                self.hosts[host].set_endpoint(*endpoint, *incarnation, *up);
                self.hosts[host].update(&self.ids, host, *endpoint)
            }
            Input::Rated {
                request,
                version,
                class,
                good,
            } => Event::Rated(Rating {
                request: key::Request(to_u64(*request)),
                version: id_map::version_id(*version),
                class: self.ids.class(*class),
                quality: if *good { Quality::Good } else { Quality::Bad },
            }),
            Input::Gossip(GossipUpdate::Evidence(it)) => Event::Evidence(it.clone()),
            Input::Gossip(GossipUpdate::Demand(it)) => Event::Demand(it.clone()),
            Input::Gossip(GossipUpdate::Verdict(version, verdict)) => Event::Verdict {
                version: id_map::version_id(*version),
                verdict: *verdict,
            },
            Input::Configured(_) => self.configure_event(),
            Input::Hosts { live } => Event::Hosts {
                live: u32::try_from(*live).unwrap_or(1),
            },
            Input::Tick => Event::Tick,
        };
        Some(event)
    }

    fn to_arrival(&self, now: Duration, arrival: &Arrival, pin: Option<VersionIdx>) -> CoreArrival {
        let class = self.world.class(arrival.class);
        let work = match self.ids.profile(arrival.class) {
            Some(profile) => Work::Chat(Chat {
                profile,
                class: self.ids.class(arrival.class),
                prompt_tokens: arrival.prompt,
                max_tokens: 0,
                prefix: arrival.session.map_or(0, |it| to_u64(it) + 1),
                pin: pin.map(|it| Pin::Version(id_map::version_key(it))),
            }),
            None => Work::Call(Call {
                service: key::Service::at(0),
                retry_policy: Some(policy::retry_policy(class)),
            }),
        };
        CoreArrival {
            request: key::Request(to_u64(arrival.idx)),
            customer: key::Customer::at(arrival.customer),
            work,
            priority: Some(policy::priority(class.priority)),
            deadline: Some(now + class.deadline),
        }
    }

    fn handle_action(&self, host: usize, action: Action, outputs: &mut Vec<Output>) {
        if let Action::Version { version, verdict } = &action {
            let update = GossipUpdate::Verdict(id_map::version(*version), *verdict);
            outputs.push(Output::Broadcast(Arc::new(update)));
        }
        outputs.extend(self.to_output(host, action));
    }

    fn to_output(&self, host: usize, action: Action) -> Option<Output> {
        let key = |attempt| self.hosts[host].attempt_key(host, attempt);
        let output = match action {
            Action::Dispatch(it) => self.to_dispatch(host, &it)?,
            Action::Deliver(it) => Output::Deliver {
                request: request_index(it.request),
                attempt: key(it.attempt),
            },
            Action::Refuse { request, refusal } => Output::Refuse {
                request: request_index(request),
                reason: id_map::reason(refusal.reason),
            },
            Action::Cancel { attempt } => Output::Cancel {
                attempt: key(attempt),
            },
            Action::Publish(it) => Output::Broadcast(Arc::new(GossipUpdate::Evidence(it))),
            Action::Demand(it) => Output::Broadcast(Arc::new(GossipUpdate::Demand(it))),
            Action::Sample { attempt, .. } => Output::Sample {
                attempt: key(attempt),
            },
            Action::Version { version, verdict } => Output::Verdict {
                version: id_map::version(version),
                verdict,
            },
            Action::LastResort { .. } => return None,
            Action::Step(it) => Output::RolloutStep {
                version: id_map::version(it.version),
                to: it.to,
                revision: it.revision,
            },
        };
        Some(output)
    }

    fn to_dispatch(&self, host: usize, it: &Dispatch) -> Option<Output> {
        Some(Output::Dispatch {
            attempt: self.hosts[host].attempt_key(host, it.attempt),
            request: request_index(it.request),
            endpoint: self.ids.endpoint(it.endpoint)?,
            version: it.version.map(id_map::version),
            priority: id_map::priority(it.priority),
            relay: match it.relay {
                CoreRelay::Now => Relay::Now,
                CoreRelay::AfterCheck => Relay::AfterCheck,
            },
            timeout: Some(it.timeout),
        })
    }
}

fn to_u64(idx: usize) -> u64 {
    u64::try_from(idx).unwrap_or(u64::MAX)
}

fn request_index(request: key::Request) -> usize {
    usize::try_from(request.0).unwrap_or(usize::MAX)
}
