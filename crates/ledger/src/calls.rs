//! The calls that have arrived and not ended.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use kernel::{Incarnation, RequestId, RequestKey};
use slotmap::{SlotMap, new_key_type};

use crate::book::{Book, Entry, EntryKey};
use crate::rows::NO_HOME;
use crate::{Arrival, Fingerprint, Repeat, Run, Serial, Via};

new_key_type! {
    /// A call that has arrived and not ended.
    pub(crate) struct CallKey;
}

/// A call that has arrived and not ended.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) request: RequestId,
    pub(crate) key: RequestKey,
    pub(crate) scope: Scope,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) repeat: Repeat,
    pub(crate) via: Via,
    /// From where the home's batches may hold a record of the key.
    pub(crate) floor: Serial,
    pub(crate) entry: Option<EntryKey>,
    pub(crate) stage: Stage,
}

/// Where it is decided whether a key was run before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Scope {
    /// Nowhere: the call has no key, so no other arrival is the same request.
    Keyless,
    /// Here: the ticket is of this incarnation and starts calls until then.
    Home { expires: Duration },
    /// At the incarnation of the ticket.
    Foreign { expires: Duration },
    /// In the table.
    Unticketed,
}

/// How far a call is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// It waits for what becomes of its key's entry.
    Waiting,
    /// The claim's row is read for the answer of an earlier run.
    Reading,
    /// Its home has it.
    Forwarded,
    /// It may be dispatched. The number is of the attempts that were sent and
    /// aren't proved not to have run.
    Permitted { sent: u32 },
}

/// The calls that have arrived and not ended.
#[derive(Debug, Default)]
pub(crate) struct Calls {
    calls: SlotMap<CallKey, Call>,
    requests: HashMap<RequestId, CallKey>,
}

impl Call {
    pub(crate) fn new(me: Incarnation, arrival: Arrival) -> Self {
        let (scope, home, floor) = match (&arrival.key, arrival.ticket) {
            (None, _) => (Scope::Keyless, me, Serial::default()),
            (Some(_), None) => (Scope::Unticketed, NO_HOME, Serial::default()),
            (Some(_), Some(ticket)) => {
                let expires = ticket.expires;
                let scope = if ticket.home == me {
                    Scope::Home { expires }
                } else {
                    Scope::Foreign { expires }
                };
                (scope, ticket.home, ticket.floor)
            }
        };
        let key = RequestKey {
            key: name(&arrival),
            customer: arrival.customer,
            home,
        };
        Self {
            request: arrival.request,
            key,
            scope,
            fingerprint: arrival.fingerprint,
            repeat: arrival.repeat,
            via: arrival.via,
            floor,
            entry: None,
            stage: Stage::Waiting,
        }
    }

    /// What is known about the execution of the call's key at other arrivals.
    ///
    /// It is `not_run` only where every arrival of the key that may run is
    /// known here: a call without a key has no other, and a key that is
    /// decided by this host runs nowhere else. An idempotent call runs
    /// wherever it arrives, so nothing is proved about it.
    pub(crate) fn run(&self, book: &Book) -> Run {
        let decided = match (self.scope, self.repeat) {
            (Scope::Keyless, _) => return Run::NotRun,
            (_, Repeat::Idempotent) => false,
            (Scope::Home { .. }, Repeat::NonIdempotent) => true,
            (Scope::Foreign { .. } | Scope::Unticketed, Repeat::NonIdempotent) => {
                self.entry.is_some()
            }
        };
        let entry = self.entry.and_then(|entry| book.get(entry));
        let may_have_run = entry.is_some_and(Entry::may_have_run);
        if decided && !may_have_run {
            Run::NotRun
        } else {
            Run::Unknown
        }
    }

    pub(crate) fn is_permitted(&self) -> bool {
        matches!(self.stage, Stage::Permitted { .. })
    }
}

/// What makes two arrivals the same request.
///
/// Idempotent calls are the same only when their bodies are: a key that is
/// used again for another body there names another request, which is billed
/// by itself. No host has to know of the other to tell. The parts of a row's
/// key are split at `/`, so the two are joined by a `~`, and one that the
/// caller wrote is doubled: else a booking could be named like a chat.
fn name(arrival: &Arrival) -> Arc<str> {
    match (&arrival.key, arrival.repeat) {
        (None, _) => arrival.request.as_str().into(),
        (Some(key), Repeat::Idempotent) => {
            format!("{}~{}", escape(key), arrival.fingerprint).into()
        }
        (Some(key), Repeat::NonIdempotent) => escape(key),
    }
}

fn escape(key: &Arc<str>) -> Arc<str> {
    if key.contains('~') {
        key.replace('~', "~~").into()
    } else {
        key.clone()
    }
}

impl Calls {
    pub(crate) fn add(&mut self, call: Call) -> CallKey {
        let request = call.request.clone();
        let key = self.calls.insert(call);
        self.requests.insert(request, key);
        key
    }

    pub(crate) fn find(&self, request: &RequestId) -> Option<CallKey> {
        self.requests.get(request).copied()
    }

    pub(crate) fn get(&self, key: CallKey) -> Option<&Call> {
        self.calls.get(key)
    }

    pub(crate) fn get_mut(&mut self, key: CallKey) -> Option<&mut Call> {
        self.calls.get_mut(key)
    }

    pub(crate) fn remove(&mut self, key: CallKey) -> Option<Call> {
        let call = self.calls.remove(key)?;
        self.requests.remove(&call.request);
        Some(call)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }
}
