//! The calls that have arrived and not ended.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use kernel::{Incarnation, RequestId, RequestKey};
use slotmap::{SlotMap, new_key_type};

use crate::registry::{Entry, EntryKey, KeyRegistry};
use crate::rows::NO_HOME;
use crate::{Arrival, Fingerprint, RetryPolicy, Run, Serial, Via};

new_key_type! {
    /// Identifies a call.
    pub(crate) struct CallKey;
}

/// A call, from its arrival to its end.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) request: RequestId,
    pub(crate) key: RequestKey,
    pub(crate) scope: Scope,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) retry_policy: RetryPolicy,
    pub(crate) via: Via,
    /// The lowest serial that a record of the key can have in the home's batches.
    pub(crate) floor: Serial,
    pub(crate) entry: Option<EntryKey>,
    pub(crate) stage: Stage,
}

/// Which host or store decides whether a key may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Scope {
    /// None: the call has no key, so no other arrival is the same request.
    Keyless,
    /// This incarnation, which minted the ticket. The ticket starts no call from `expires` on.
    Home { expires: Duration },
    /// The incarnation that minted the ticket.
    Foreign { expires: Duration },
    /// The table, by a claim.
    Unticketed,
}

/// The processing stage of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Waiting for a decision about its key.
    Waiting,
    /// Reading the claim's row for the response of an earlier run.
    Reading,
    /// Forwarded to its home.
    Forwarded,
    /// Permitted. `sent` counts the attempts that were sent and aren't proved not to have run.
    Permitted { sent: u32 },
}

/// The calls by key and by request ID.
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
            retry_policy: arrival.retry_policy,
            via: arrival.via,
            floor,
            entry: None,
            stage: Stage::Waiting,
        }
    }

    /// Whether the request may have run at any arrival of its key, this call's own attempts aside.
    ///
    /// Returns [`Run::NotRun`] only if this host knows every arrival that may run: a call without a
    /// key has no other arrival, and a key that this host decides about runs nowhere else. An
    /// idempotent call may run at any host, so nothing can be proved about it.
    pub(crate) fn run_state(&self, registry: &KeyRegistry) -> Run {
        let decided = match (self.scope, self.retry_policy) {
            (Scope::Keyless, _) => return Run::NotRun,
            (_, RetryPolicy::Idempotent) => false,
            (Scope::Home { .. }, RetryPolicy::AtMostOnce) => true,
            (Scope::Foreign { .. } | Scope::Unticketed, RetryPolicy::AtMostOnce) => {
                self.entry.is_some()
            }
        };
        let entry = self.entry.and_then(|entry| registry.get(entry));
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

/// Returns the name that identifies the request among all arrivals.
///
/// The name of an idempotent call includes the fingerprint, so a key that is reused for another
/// body is another request with its own bill, and no host has to know of the other call. The
/// separator is `~`, because `/` separates the parts of a row's key. A `~` in the caller's key is
/// doubled, so that a key of an at-most-once call can't equal the name of an idempotent one.
fn name(arrival: &Arrival) -> Arc<str> {
    match (&arrival.key, arrival.retry_policy) {
        (None, _) => arrival.request.as_str().into(),
        (Some(key), RetryPolicy::Idempotent) => {
            format!("{}~{}", escape(key), arrival.fingerprint).into()
        }
        (Some(key), RetryPolicy::AtMostOnce) => escape(key),
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
