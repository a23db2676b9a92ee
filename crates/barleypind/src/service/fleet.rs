//! The service that owns the fleet core: membership, gossip, and frames between the cores of
//! hosts.

mod configuration;
mod decider_messages;

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
use decider_messages::DigestState;

use crate::{renew, tuning};
pub(crate) use decider_messages::DeciderMessage;

/// Maximum time to wait for a message before the core's deadline is checked again.
const MAX_WAIT: Duration = Duration::from_millis(250);

/// The fleet service.
pub(crate) struct Fleet;

impl Service for Fleet {
    type Message = Message;
    const NAME: &'static str = "fleet";
    const CAPACITY: usize = 4096;
}

/// A message to the service.
pub(crate) enum Message {
    /// A frame received from another host.
    Frame(Incoming),
    /// Another event for the core.
    Event(Event),
    /// An event for the core. The reply is sent once the resulting actions have been carried out.
    EventAndWait(Event, oneshot::Sender<()>),
    /// Requests the member with this incarnation.
    Find(Incarnation, oneshot::Sender<Option<Member>>),
    /// Requests the hosts to hand out to a caller in this data centre, best first.
    Handout(DataCentre, oneshot::Sender<Vec<Member>>),
    /// Requests this host's member record and all others, in any state. This host's comes first.
    Members(oneshot::Sender<Vec<Member>>),
    /// A message to the ledger of another host.
    Ledger(Incarnation, ledger::Message),
    /// A message to the deciders of the other hosts.
    Decide(DeciderMessage),
    /// This process has a new incarnation.
    Renewed,
}

struct Actor {
    cx: Arc<Context>,
    core: fleet::Fleet,
    actions: Vec<Action>,
    digest_state: DigestState,
}

/// Runs the service until its queue is closed.
pub(crate) async fn run(cx: Arc<Context>, core: fleet::Fleet, queue: Receiver<Message>) {
    let mut actor = Actor {
        cx,
        core,
        actions: Vec::new(),
        digest_state: DigestState::NotRequested,
    };
    actor.handle_event(Event::Tick);
    loop {
        let now = actor.cx.host.now();
        let wait = actor.core.deadline().saturating_sub(now).min(MAX_WAIT);
        match timeout(wait, queue.recv()).await {
            Ok(Ok(message)) => actor.handle(message),
            Ok(Err(_)) => return,
            Err(_) => {}
        }
        if actor.core.deadline() <= actor.cx.host.now() {
            actor.handle_event(Event::Tick);
        }
        actor.request_digest();
    }
}

/// Forwards frames from the link to the service.
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
    fn handle(&mut self, message: Message) {
        match message {
            Message::Frame(incoming) => {
                self.cx.host.last_contact.record(self.cx.host.now());
                self.handle_frame(incoming);
            }
            Message::Event(event) => self.handle_event(event),
            Message::EventAndWait(event, reply) => {
                self.handle_event(event);
                let _ = reply.send(());
            }
            // The requester may be gone by now, so failures to reply are ignored.
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
            Message::Decide(decider_message) => self.publish(&decider_message),
            Message::Renewed => self.renew(),
        }
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.cx.host.now();
        let mut actions = std::mem::take(&mut self.actions);
        self.core.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.perform(action);
        }
        self.actions = actions;
        if let Some(age) = self.core.proof_age(now) {
            self.cx
                .host
                .current_config
                .record_proof(now.saturating_sub(age));
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
            Action::Member(change) => self.member_changed(&change),
            Action::Verdict(verdict) => self.handle_verdict(&verdict),
            Action::Endpoint(endpoint) => {
                let state = match endpoint.state {
                    EndpointState::Live => return,
                    EndpointState::Leaving => decide::endpoint::State::Leaving,
                    EndpointState::Gone => decide::endpoint::State::Gone,
                };
                self.cx
                    .endpoints
                    .record_state(&endpoint.host, endpoint.incarnation, state);
            }
            // Unused: deciders exchange evidence as [`DeciderMessage`].
            Action::Evidence(_) => {}
            Action::Drain => drain::begin(&self.cx.host),
            Action::Deposed => renew::renew(&self.cx),
        }
    }

    /// Restarts the core with the process's new incarnation. The members are found again through
    /// the host list.
    fn renew(&mut self) {
        let incarnation = self.cx.host.incarnation();
        let mut me = self.core.me().clone();
        me.identity.incarnation = incarnation;
        me.refutation = 0;
        let tuning = tuning::fleet(&self.cx.host.settings);
        self.core = fleet::Fleet::new(me, incarnation.0, tuning);
    }

    fn handle_frame(&mut self, incoming: Incoming) {
        let Incoming { from, frame, .. } = incoming;
        match frame {
            Frame::Ledger(payload) => self.handle_ledger_payload(&from.host, &payload),
            Frame::Decide(payload) => self.handle_decider_payload(&from.host, &payload),
            frame => self.handle_event(Event::Frame {
                from: from.host,
                frame,
            }),
        }
    }

    fn handle_ledger_payload(&self, from: &HostName, payload: &Payload) {
        if payload.from.host != *from {
            return self.bad_frame(from);
        }
        match postcard::from_bytes(&payload.bytes) {
            Ok(message) => self.cx.ledger_handle.handle(ledger::Event::Received {
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

    fn member_changed(&self, change: &Change) {
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
        self.update_hosts();
    }

    /// Passes the other hosts that are up to the ledger, and the number of hosts that are up,
    /// including this one, to the decider.
    fn update_hosts(&self) {
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
        self.cx.ledger_handle.handle(ledger::Event::Hosts(peers));
        self.cx.decider.handle(decide::Event::Hosts { live });
    }

    fn handle_verdict(&self, verdict: &wire::Verdict) {
        if verdict.by == self.core.me().identity {
            return;
        }
        let judged = match verdict.ruling {
            Ruling::Lift => decide::action::Verdict::Healthy,
            Ruling::Quarantine => postcard::from_bytes(&verdict.evidence).unwrap_or(
                decide::action::Verdict::Quarantined(decide::action::Cause::Errors),
            ),
        };
        self.cx.decider.handle(decide::Event::Verdict {
            version: verdict.version.clone(),
            verdict: judged,
        });
    }
}

/// Returns whether a member is considered up. A suspicion alone doesn't mark it as down.
fn is_up(member: &Member) -> bool {
    matches!(member.state, State::Alive | State::Leaving | State::Suspect)
}

/// Passes an event to the core, or drops it if the queue is full, so that a flood doesn't block the
/// sender.
pub(crate) fn send_event(cx: &Context, event: Event) {
    if let Some(fleet) = cx.host.registry.find::<Fleet>() {
        let _ = fleet.offer(Message::Event(event));
    }
}

/// Converts the entry hosts of the platform's list into member records.
pub(crate) fn member_records(hosts: Vec<clients::Host>) -> Vec<Member> {
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
