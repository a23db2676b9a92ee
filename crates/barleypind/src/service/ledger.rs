//! The service that owns the ledger: at-most-once execution and billing.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_std::task;
use futures::channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};
use futures::channel::oneshot;
use kernel::{Incarnation, RequestId};
use ledger::{
    Action, Arrival, Durability, End, Event, Message, Outcome, Refusal, Run, Serial, Status, Tuning,
};

use crate::event::Event as Logged;
use crate::host::Host;

/// The ledger's decision on an arriving call.
#[derive(Clone, Debug)]
pub(crate) enum Admission {
    /// The call may run. Its attempts and its end have to be reported.
    Permit,
    /// The call ran before, with this outcome.
    Replay(Outcome),
    /// Only the call's home may run it.
    Forward(Incarnation),
    /// The call may not run.
    Refuse(Refusal),
}

/// The ledger's reply to the end of a permitted call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Closing {
    /// The end of the response may be sent.
    Release(Durability),
    /// There is no response; the refusal has to state this execution state.
    Close(Run),
}

/// An action of the ledger for another service.
#[derive(Clone, Debug)]
pub(crate) enum LedgerEffect {
    /// A message to the ledger of another host.
    Send(Incarnation, Message),
    /// An operation on the table.
    Table(Action),
    /// This incarnation was fenced.
    Retire(Incarnation),
    /// The ledger holds no more records.
    Drained,
}

/// A shared handle of the ledger.
pub(crate) struct LedgerHandle {
    core: Mutex<Core>,
    host: Arc<Host>,
    effects: UnboundedSender<LedgerEffect>,
}

struct Core {
    ledger: ledger::Ledger,
    admissions: HashMap<RequestId, oneshot::Sender<Admission>>,
    closings: HashMap<RequestId, oneshot::Sender<Closing>>,
    actions: Vec<Action>,
    wake: Option<Duration>,
}

impl LedgerHandle {
    /// Returns an empty ledger, and the queue of its actions for other services.
    pub(crate) fn new(
        host: Arc<Host>,
        tuning: Tuning,
    ) -> (Arc<Self>, UnboundedReceiver<LedgerEffect>) {
        let (effects, receiver) = unbounded();
        let data_centre = host.settings.host.data_centre.clone();
        let core = Core {
            ledger: ledger::Ledger::new(host.incarnation(), data_centre, tuning),
            admissions: HashMap::new(),
            closings: HashMap::new(),
            actions: Vec::new(),
            wake: None,
        };
        let ledger_handle = Self {
            core: Mutex::new(core),
            host,
            effects,
        };
        (Arc::new(ledger_handle), receiver)
    }

    /// Requests admission of a call. Returns `None` only during the exit of the process.
    pub(crate) async fn admit(self: &Arc<Self>, arrival: Arrival) -> Option<Admission> {
        let (sender, receiver) = oneshot::channel();
        self.with(|core, now| {
            core.admissions.insert(arrival.request.clone(), sender);
            core.handle(now, Event::Arrive(arrival));
        });
        receiver.await.ok()
    }

    /// Reports the end of a permitted call, and waits until the end of its response may be sent.
    pub(crate) async fn finish(self: &Arc<Self>, request: RequestId, end: End) -> Option<Closing> {
        let (sender, receiver) = oneshot::channel();
        self.with(|core, now| {
            core.closings.insert(request.clone(), sender);
            core.handle(now, Event::Finished { request, end });
        });
        receiver.await.ok()
    }

    /// Passes any other event to the ledger.
    pub(crate) fn handle(self: &Arc<Self>, event: Event) {
        self.with(|core, now| core.handle(now, event));
    }

    pub(crate) fn floor(&self) -> Serial {
        self.lock().ledger.floor()
    }

    pub(crate) fn status(&self) -> Status {
        self.lock().ledger.status()
    }

    fn with(self: &Arc<Self>, work: impl FnOnce(&mut Core, Duration)) {
        let mut core = self.lock();
        let now = self.host.now();
        work(&mut core, now);
        let wake = core.route(&self.effects, &self.host);
        drop(core);
        if let Some(at) = wake {
            self.wake_at(at, now);
        }
    }

    fn wake_at(self: &Arc<Self>, at: Duration, now: Duration) {
        let ledger_handle = Arc::clone(self);
        task::spawn(async move {
            task::sleep(at.saturating_sub(now)).await;
            ledger_handle.with(|core, now| {
                if core.wake.is_some_and(|wake| wake <= now) {
                    core.wake = None;
                }
                core.handle(now, Event::Tick);
            });
        });
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Core> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Core {
    fn handle(&mut self, now: Duration, event: Event) {
        self.ledger.handle(now, event, &mut self.actions);
    }

    /// Sends the actions to their receivers. Returns the next wake-up time if it is earlier than
    /// the one scheduled.
    fn route(&mut self, effects: &UnboundedSender<LedgerEffect>, host: &Host) -> Option<Duration> {
        let mut sooner = None;
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            match action {
                Action::Permit { request } => self.admit(&request, Admission::Permit),
                Action::Replay { request, outcome } => {
                    self.admit(&request, Admission::Replay(outcome));
                }
                Action::Forward { request, home } => {
                    self.admit(&request, Admission::Forward(home));
                }
                Action::Refuse { request, refusal } => {
                    self.admit(&request, Admission::Refuse(refusal));
                }
                Action::Release {
                    request,
                    durability,
                } => {
                    if durability == Durability::SingleCopy {
                        host.log.emit(Logged::RecordAlone, &[("request", &request)]);
                    }
                    self.close(&request, Closing::Release(durability));
                }
                Action::Close { request, run } => self.close(&request, Closing::Close(run)),
                Action::Send { to, message } => send(effects, LedgerEffect::Send(to, message)),
                Action::Transact { .. } | Action::Read { .. } | Action::Scan { .. } => {
                    send(effects, LedgerEffect::Table(action));
                }
                Action::Retire { fenced } => send(effects, LedgerEffect::Retire(fenced)),
                Action::Drained => send(effects, LedgerEffect::Drained),
                Action::Wake { at } => {
                    if self.wake.is_none_or(|wake| at < wake) {
                        self.wake = Some(at);
                        sooner = Some(at);
                    }
                }
            }
        }
        self.actions = actions;
        sooner
    }

    fn admit(&mut self, request: &RequestId, admission: Admission) {
        if let Some(sender) = self.admissions.remove(request) {
            // Fails if the caller disconnected, which its call reports to the ledger.
            let _ = sender.send(admission);
        }
    }

    fn close(&mut self, request: &RequestId, closing: Closing) {
        if let Some(sender) = self.closings.remove(request) {
            let _ = sender.send(closing);
        }
    }
}

/// Sends an effect to the table service. That runs as long as the process, so sending doesn't fail.
fn send(effects: &UnboundedSender<LedgerEffect>, effect: LedgerEffect) {
    let _ = effects.unbounded_send(effect);
}
