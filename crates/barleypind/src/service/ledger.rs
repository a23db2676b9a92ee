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

/// Whether a call may run.
#[derive(Clone, Debug)]
pub(crate) enum Admission {
    /// It may; its attempts and its end are to be reported.
    Permit,
    /// It ran before, and this was the answer.
    Replay(Outcome),
    /// Its home alone may run it.
    Forward(Incarnation),
    /// It may not.
    Refuse(Refusal),
}

/// What the end of a permitted call waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Closing {
    /// The end of the answer may go out.
    Release(Durability),
    /// There is no answer; this is what the refusal says.
    Close(Run),
}

/// What the ledger needs from other services.
#[derive(Clone, Debug)]
pub(crate) enum Errand {
    /// A message to the ledger of another host.
    Send(Incarnation, Message),
    /// Something for the table.
    Table(Action),
    /// This incarnation was fenced.
    Retire(Incarnation),
    /// Nothing is held any more.
    Drained,
}

/// The owner of the ledger.
pub(crate) struct Books {
    core: Mutex<Core>,
    host: Arc<Host>,
    errands: UnboundedSender<Errand>,
}

struct Core {
    ledger: ledger::Ledger,
    admissions: HashMap<RequestId, oneshot::Sender<Admission>>,
    closings: HashMap<RequestId, oneshot::Sender<Closing>>,
    actions: Vec<Action>,
    wake: Option<Duration>,
}

impl Books {
    /// A ledger that holds nothing, and the queue of what it needs.
    pub(crate) fn new(host: Arc<Host>, tuning: Tuning) -> (Arc<Self>, UnboundedReceiver<Errand>) {
        let (errands, receiver) = unbounded();
        let data_centre = host.settings.host.data_centre.clone();
        let core = Core {
            ledger: ledger::Ledger::new(host.incarnation(), data_centre, tuning),
            admissions: HashMap::new(),
            closings: HashMap::new(),
            actions: Vec::new(),
            wake: None,
        };
        let books = Self {
            core: Mutex::new(core),
            host,
            errands,
        };
        (Arc::new(books), receiver)
    }

    /// Asks whether a call may run. Nothing comes back only while the process ends.
    pub(crate) async fn admit(self: &Arc<Self>, arrival: Arrival) -> Option<Admission> {
        let (sender, receiver) = oneshot::channel();
        self.with(|core, now| {
            core.admissions.insert(arrival.request.clone(), sender);
            core.handle(now, Event::Arrive(arrival));
        });
        receiver.await.ok()
    }

    /// Reports the end of a permitted call and waits until its caller may have it.
    pub(crate) async fn finish(self: &Arc<Self>, request: RequestId, end: End) -> Option<Closing> {
        let (sender, receiver) = oneshot::channel();
        self.with(|core, now| {
            core.closings.insert(request.clone(), sender);
            core.handle(now, Event::Finished { request, end });
        });
        receiver.await.ok()
    }

    /// Passes in any other event.
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
        let wake = core.route(&self.errands, &self.host);
        drop(core);
        if let Some(at) = wake {
            self.wake_at(at, now);
        }
    }

    fn wake_at(self: &Arc<Self>, at: Duration, now: Duration) {
        let books = Arc::clone(self);
        task::spawn(async move {
            task::sleep(at.saturating_sub(now)).await;
            books.with(|core, now| {
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

    /// Passes the actions on and returns when the ledger wants to be woken,
    /// if that is sooner than it will be.
    fn route(&mut self, errands: &UnboundedSender<Errand>, host: &Host) -> Option<Duration> {
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
                Action::Send { to, message } => send(errands, Errand::Send(to, message)),
                Action::Transact { .. } | Action::Read { .. } | Action::Scan { .. } => {
                    send(errands, Errand::Table(action));
                }
                Action::Retire { fenced } => send(errands, Errand::Retire(fenced)),
                Action::Drained => send(errands, Errand::Drained),
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
            // The caller may have gone; the ledger is told by its call.
            let _ = sender.send(admission);
        }
    }

    fn close(&mut self, request: &RequestId, closing: Closing) {
        if let Some(sender) = self.closings.remove(request) {
            let _ = sender.send(closing);
        }
    }
}

/// The receiving service lives as long as the process.
fn send(errands: &UnboundedSender<Errand>, errand: Errand) {
    let _ = errands.unbounded_send(errand);
}
