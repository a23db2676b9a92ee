//! The service that owns the fleet core: membership, news, and what other
//! hosts' cores say.

mod configuration;
mod learned;

use std::sync::Arc;
use std::time::Duration;

use ::fleet::{Action, Change, Event};
use async_std::channel::Receiver;
use async_std::future::timeout;
use async_std::task;
use futures::channel::oneshot;
use kernel::{DataCentre, HostName, Incarnation, Service};
use ledger::{Peer, Reach};
use link::Incoming;
use serde::Serialize;
use wire::{EndpointState, Frame, Identity, Member, Payload, Ruling, State};

use crate::context::Context;
use crate::event::Event as Logged;
use crate::service::drain;
use learned::Taught;

use crate::{renew, tuning};
pub(crate) use learned::Told;

/// The longest time between two looks at the core's own deadline.
const IDLE: Duration = Duration::from_millis(250);

/// The name of the service.
pub(crate) struct Fleet;

impl Service for Fleet {
    type Message = Message;
    const NAME: &'static str = "fleet";
    const CAPACITY: usize = 4096;
}

/// What the service takes.
pub(crate) enum Message {
    /// A frame came.
    Frame(Incoming),
    /// Anything else that the core is told.
    Event(Event),
    /// The same, for who waits until what follows from it is done.
    Settle(Event, oneshot::Sender<()>),
    /// The member with this incarnation.
    Find(Incarnation, oneshot::Sender<Option<Member>>),
    /// The hosts for a caller in this data centre, best first.
    Handout(DataCentre, oneshot::Sender<Vec<Member>>),
    /// This host and all others, whatever their state.
    Members(oneshot::Sender<Vec<Member>>),
    /// A message to the ledger of another host.
    Ledger(Incarnation, ledger::Message),
    /// What the decider tells those of the other hosts.
    Decide(Told),
    /// This process took a new incarnation.
    Renewed,
}

struct Actor {
    cx: Arc<Context>,
    core: fleet::Fleet,
    actions: Vec<Action>,
    taught: Taught,
}

/// Runs the service until its queue is closed.
pub(crate) async fn run(cx: Arc<Context>, core: fleet::Fleet, queue: Receiver<Message>) {
    let mut actor = Actor {
        cx,
        core,
        actions: Vec::new(),
        taught: Taught::NotYet,
    };
    actor.tell(Event::Tick);
    loop {
        let now = actor.cx.host.now();
        let wait = actor.core.deadline().saturating_sub(now).min(IDLE);
        match timeout(wait, queue.recv()).await {
            Ok(Ok(message)) => actor.take(message),
            Ok(Err(_)) => return,
            Err(_) => {}
        }
        if actor.core.deadline() <= actor.cx.host.now() {
            actor.tell(Event::Tick);
        }
        actor.ask_once();
    }
}

/// Passes frames from the link to the service.
pub(crate) async fn receive(cx: Arc<Context>, frames: Receiver<Incoming>) {
    while let Ok(incoming) = frames.recv().await {
        let Some(fleet) = cx.host.registry.find::<Fleet>() else {
            return;
        };
        if fleet.send(Message::Frame(incoming)).await.is_err() {
            return;
        }
    }
}

impl Actor {
    fn take(&mut self, message: Message) {
        match message {
            Message::Frame(incoming) => {
                self.cx.host.contact.note(self.cx.host.now());
                self.frame(incoming);
            }
            Message::Event(event) => self.tell(event),
            Message::Settle(event, reply) => {
                self.tell(event);
                let _ = reply.send(());
            }
            // Whoever asked may have gone meanwhile.
            Message::Find(incarnation, reply) => {
                let _ = reply.send(self.find(incarnation).cloned());
            }
            Message::Handout(data_centre, reply) => {
                let now = self.cx.host.now();
                let _ = reply.send(self.core.handout(now, &data_centre));
            }
            Message::Members(reply) => {
                let others = self.core.members().cloned();
                let all = std::iter::once(self.core.me().clone()).chain(others);
                let _ = reply.send(all.collect());
            }
            Message::Ledger(to, message) => self.send_ledger(to, &message),
            Message::Decide(told) => self.publish(&told),
            Message::Renewed => self.renew(),
        }
    }

    fn tell(&mut self, event: Event) {
        let now = self.cx.host.now();
        let mut actions = std::mem::take(&mut self.actions);
        self.core.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.perform(action);
        }
        self.actions = actions;
        if let Some(age) = self.core.proof_age(now) {
            self.cx.host.current.prove(now.saturating_sub(age));
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Send {
                host,
                address,
                frame,
            } => self.cx.link.send(&link::Peer { host, address }, &frame),
            Action::Poll => {
                task::spawn(configuration::poll(Arc::clone(&self.cx)));
            }
            Action::Apply { revision, json } => configuration::apply(&self.cx, revision, &json),
            Action::Member(change) => self.changed(&change),
            Action::Verdict(verdict) => self.judged(&verdict),
            Action::Endpoint(endpoint) => {
                let state = match endpoint.state {
                    EndpointState::Live => return,
                    EndpointState::Leaving => decide::endpoint::State::Leaving,
                    EndpointState::Gone => decide::endpoint::State::Gone,
                };
                self.cx
                    .endpoints
                    .hear(&endpoint.host, endpoint.incarnation, state);
            }
            // The deciders speak to each other in their own form, see [`Told`].
            Action::Evidence(_) => {}
            Action::Drain => drain::begin(&self.cx.host),
            Action::Deposed => renew::renew(&self.cx),
        }
    }

    /// Goes on as the process's new incarnation, which nobody knows yet. The
    /// members are found again from the host list.
    fn renew(&mut self) {
        let incarnation = self.cx.host.incarnation();
        let mut me = self.core.me().clone();
        me.identity.incarnation = incarnation;
        me.refutation = 0;
        let tuning = tuning::fleet(&self.cx.host.settings);
        self.core = fleet::Fleet::new(me, incarnation.0, tuning);
    }

    fn frame(&mut self, incoming: Incoming) {
        let Incoming { from, frame, .. } = incoming;
        match frame {
            Frame::Ledger(payload) => self.ledger_said(&from.host, &payload),
            Frame::Decide(payload) => self.decider_said(&from.host, &payload),
            frame => self.tell(Event::Frame {
                from: from.host,
                frame,
            }),
        }
    }

    fn ledger_said(&self, from: &HostName, payload: &Payload) {
        if payload.from.host != *from {
            return self.bad_frame(from);
        }
        match postcard::from_bytes(&payload.bytes) {
            Ok(message) => self.cx.books.handle(ledger::Event::Received {
                from: payload.from.incarnation,
                message,
            }),
            Err(_) => self.bad_frame(from),
        }
    }

    fn bad_frame(&self, from: &HostName) {
        self.cx.host.log.emit(Logged::BadFrame, &[("host", from)]);
    }

    fn send_ledger(&self, to: Incarnation, message: &ledger::Message) {
        let Some(member) = self.find(to) else {
            return;
        };
        if let Some(payload) = self.payload(message) {
            self.send(member, &Frame::Ledger(payload));
        }
    }

    fn payload<T: Serialize>(&self, message: &T) -> Option<Payload> {
        Some(Payload {
            from: self.core.me().identity.clone(),
            bytes: postcard::to_stdvec(message).ok()?,
        })
    }

    fn send(&self, member: &Member, frame: &Frame) {
        let peer = link::Peer {
            host: member.identity.host.clone(),
            address: member.fleet_address,
        };
        self.cx.link.send(&peer, frame);
    }

    fn find(&self, incarnation: Incarnation) -> Option<&Member> {
        let mut members = self.core.members().chain([self.core.me()]);
        members.find(|it| it.identity.incarnation == incarnation)
    }

    fn changed(&self, change: &Change) {
        let member = &change.member;
        let event = match member.state {
            State::Alive if change.before != Some(State::Alive) => Logged::MemberUp,
            State::Leaving => Logged::MemberLeaving,
            State::Unreachable | State::Dead => Logged::MemberDown,
            State::Alive | State::Suspect => Logged::MemberUp,
        };
        if member.state != State::Suspect {
            self.cx.host.log.emit(
                event,
                &[
                    ("host", &member.identity.host),
                    ("incarnation", &member.identity.incarnation),
                    ("state", &member.state),
                ],
            );
        }
        self.tell_hosts();
    }

    /// Tells the ledger and the decider who is there.
    fn tell_hosts(&self) {
        let region = &self.core.me().region;
        let peers: Vec<Peer> = self
            .core
            .members()
            .filter(|it| is_up(it))
            .map(|it| Peer {
                incarnation: it.identity.incarnation,
                data_centre: it.data_centre.clone(),
                reach: if it.region == *region {
                    Reach::Near
                } else {
                    Reach::Far
                },
                state: match it.state {
                    State::Leaving => ledger::PeerState::Leaving,
                    _ => ledger::PeerState::Live,
                },
            })
            .collect();
        let live = u32::try_from(peers.len() + 1).unwrap_or(u32::MAX);
        self.cx.books.handle(ledger::Event::Hosts(peers));
        self.cx.decide.handle(decide::Event::Hosts { live });
    }

    fn judged(&self, verdict: &wire::Verdict) {
        if verdict.by == self.core.me().identity {
            return;
        }
        let judged = match verdict.ruling {
            Ruling::Lift => decide::action::Verdict::Healthy,
            Ruling::Quarantine => postcard::from_bytes(&verdict.evidence).unwrap_or(
                decide::action::Verdict::Quarantined(decide::action::Cause::Errors),
            ),
        };
        self.cx.decide.handle(decide::Event::Verdict {
            version: verdict.version.clone(),
            verdict: judged,
        });
    }
}

/// Whether a member is taken to be there: a suspicion alone takes nobody out.
fn is_up(member: &Member) -> bool {
    matches!(member.state, State::Alive | State::Leaving | State::Suspect)
}

/// Tells the core of an event, unless its queue is full: what it is told comes
/// again, and a flood must not hold up what tells it.
pub(crate) fn tell(cx: &Context, event: Event) {
    if let Some(fleet) = cx.host.registry.find::<Fleet>() {
        let _ = fleet.offer(Message::Event(event));
    }
}

/// The entry hosts of the platform's list as the core takes them.
pub(crate) fn listed(hosts: Vec<clients::Host>) -> Vec<Member> {
    hosts
        .into_iter()
        .filter_map(|host| {
            Some(Member {
                identity: Identity {
                    host: host.name,
                    incarnation: host.incarnation,
                },
                refutation: 0,
                state: match host.state {
                    clients::State::Live => State::Alive,
                    clients::State::Leaving => State::Leaving,
                },
                fleet_address: host.fleet_address?,
                address: host.address,
                data_centre: host.data_centre,
                region: host.region,
            })
        })
        .collect()
}
