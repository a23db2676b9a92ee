//! Admission: decides whether a call may run on this host.

mod adopt;
mod claim;
mod finish;
mod outcome;

pub(crate) use adopt::AdoptionResult;

use std::time::Duration;

use kernel::RequestId;

use crate::calls::{Call, CallKey, Calls, Scope, Stage};
use crate::claim_updates::ClaimUpdates;
use crate::context::Context;
use crate::peers::Peers;
use crate::pending::{PendingRecords, Waiter};
use crate::registry::{Entry, EntryKey, KeyRegistry, State};
use crate::timers::Timer;
use crate::{Action, Arrival, End, ForwardResult, Reason, RetryPolicy, Run, Serial, Via};

/// Interval between checks for expired keys.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(5);
/// Additional retention time of an expired key that can't be forgotten yet.
const EXTENSION: Duration = Duration::from_mins(1);

/// Decides whether a call may run on this host.
///
/// Invariant: exactly one incarnation decides about an at-most-once key. It is the one that minted
/// the ticket or, without a ticket, the one whose claim is in the table. No other incarnation ever
/// runs the key, not even after the deciding one is gone, unless the claim is deleted because
/// nothing ran under it.
#[derive(Debug, Default)]
pub(crate) struct Admission {
    calls: Calls,
    registry: KeyRegistry,
    pub(crate) claim_updates: ClaimUpdates,
}

/// The other components that admission needs.
pub(crate) struct View<'a> {
    pub(crate) peers: &'a Peers,
    pub(crate) pending: &'a mut PendingRecords,
}

impl Admission {
    pub(crate) fn registry(&self) -> &KeyRegistry {
        &self.registry
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.calls.is_empty()
    }

    pub(crate) fn arrive(&mut self, cx: &mut Context, view: &mut View, arrival: Arrival) {
        let call = Call::new(cx.shared.me, arrival);
        let found = match call.scope {
            Scope::Keyless => None,
            _ => self.registry.find(&call.key),
        };
        let (scope, retry_policy) = (call.scope, call.retry_policy);
        let call = self.calls.add(call);
        if let Some(entry) = found {
            return self.handle_known_key(cx, view, entry, call);
        }
        match (scope, retry_policy) {
            (Scope::Keyless, _) => self.start_without_entry(cx, view, call),
            (Scope::Home { expires } | Scope::Foreign { expires }, _) if expires <= cx.now => {
                // The home may have run the key and forgotten it since.
                self.refuse(cx, call, Reason::HolderGone, Run::Unknown);
            }
            (Scope::Home { expires }, _) => self.start_at_home(cx, view, call, expires),
            (Scope::Foreign { .. } | Scope::Unticketed, RetryPolicy::Idempotent) => {
                self.start_without_entry(cx, view, call);
            }
            (Scope::Foreign { .. }, RetryPolicy::AtMostOnce) => {
                self.forward_or_look_up(cx, view, call);
            }
            (Scope::Unticketed, RetryPolicy::AtMostOnce) => self.claim(cx, view, call),
        }
    }

    fn is_full(&self, cx: &Context) -> bool {
        self.registry.len() >= cx.shared.tuning.max_keys
    }

    /// Starts a call that needs no entry: one without a key, or an idempotent one that another host
    /// or no host decides about.
    fn start_without_entry(&mut self, cx: &mut Context, view: &View, call: CallKey) {
        match refusal_reason(cx, view) {
            Some(reason) => {
                let run = self.run_state(call);
                self.refuse(cx, call, reason, run);
            }
            None => self.start(cx, call, None),
        }
    }

    /// Starts the first call of a key under a ticket of this incarnation. No other host can have
    /// run an at-most-once key, and this host remembers its keys for longer than the ticket is
    /// valid.
    fn start_at_home(&mut self, cx: &mut Context, view: &View, call: CallKey, expires: Duration) {
        let full = self.is_full(cx).then_some(Reason::Overloaded);
        if let Some(reason) = refusal_reason(cx, view).or(full) {
            let run = self.run_state(call);
            return self.refuse(cx, call, reason, run);
        }
        let expires = expires + cx.shared.tuning.key_retention;
        if let Some(entry) = self.remember(cx, call, State::Runnable, expires) {
            self.start(cx, call, Some(entry));
        }
    }

    fn remember(
        &mut self,
        cx: &mut Context,
        call: CallKey,
        state: State,
        expires: Duration,
    ) -> Option<EntryKey> {
        let call = self.calls.get_mut(call)?;
        let entry = Entry::new(call.key.clone(), call.fingerprint, state);
        let entry = self.registry.add(entry, expires);
        call.entry = Some(entry);
        cx.arm(EXPIRY_INTERVAL, Timer::ExpireKeys);
        Some(entry)
    }

    /// Handles a call whose key is remembered.
    fn handle_known_key(
        &mut self,
        cx: &mut Context,
        view: &mut View,
        entry: EntryKey,
        key: CallKey,
    ) {
        let Some(call) = self.calls.get_mut(key) else {
            return;
        };
        call.entry = Some(entry);
        if let Scope::Home { expires } = call.scope {
            // A newer ticket of this host extends the time in which the key may be used.
            let until = expires + cx.shared.tuning.key_retention;
            self.registry.extend(entry, until);
        }
        self.decide_known_key(cx, view, entry, key);
    }

    fn decide_known_key(
        &mut self,
        cx: &mut Context,
        view: &mut View,
        entry: EntryKey,
        key: CallKey,
    ) {
        let (Some(it), Some(call)) = (self.registry.get_mut(entry), self.calls.get(key)) else {
            return;
        };
        let retry_policy = call.retry_policy;
        if retry_policy == RetryPolicy::AtMostOnce && it.fingerprint != call.fingerprint {
            // Unless the claim is still being written, only the other body can have run under the
            // key.
            let run = if it.state == State::Claiming {
                Run::Unknown
            } else {
                Run::NotRun
            };
            return self.refuse(cx, key, Reason::KeyReused, run);
        }
        match (it.state.clone(), retry_policy) {
            (State::Answered(Some(outcome)), _) => {
                let billed = it.billed.unwrap_or_default();
                self.replay(cx, view, key, billed, outcome);
            }
            (State::Runnable, _) => self.start_runnable(cx, view, entry, key),
            (_, RetryPolicy::Idempotent) => self.start_idempotent(cx, view, entry, key),
            (State::Claiming | State::Running, RetryPolicy::AtMostOnce) => {
                if it.waiters.len() < cx.shared.tuning.max_waiters {
                    it.waiters.push_back(key);
                } else {
                    self.refuse(cx, key, Reason::InProgress, Run::Unknown);
                }
            }
            (State::Answered(None), RetryPolicy::AtMostOnce) => self.read_outcome(cx, key),
            (State::Unknown, RetryPolicy::AtMostOnce) => {
                self.refuse(cx, key, Reason::UpstreamFailed, Run::Unknown);
            }
        }
    }

    /// Starts a call whose key is [`State::Runnable`].
    fn start_runnable(&mut self, cx: &mut Context, view: &View, entry: EntryKey, call: CallKey) {
        let run = self.run_state(call);
        match refusal_reason(cx, view) {
            Some(reason) => self.refuse(cx, call, reason, run),
            None => self.start(cx, call, Some(entry)),
        }
    }

    /// Whether the request of a call that isn't started may have run.
    fn run_state(&self, call: CallKey) -> Run {
        match self.calls.get(call) {
            Some(call) => call.run_state(&self.registry),
            None => Run::Unknown,
        }
    }

    fn start_idempotent(&mut self, cx: &mut Context, view: &View, entry: EntryKey, call: CallKey) {
        match refusal_reason(cx, view) {
            Some(reason) => self.refuse(cx, call, reason, Run::Unknown),
            None => self.start(cx, call, Some(entry)),
        }
    }

    fn start(&mut self, cx: &mut Context, key: CallKey, entry: Option<EntryKey>) {
        let Some(call) = self.calls.get_mut(key) else {
            return;
        };
        call.stage = Stage::Permitted { sent: 0 };
        call.entry = entry;
        if let Some(it) = entry.and_then(|entry| self.registry.get_mut(entry)) {
            it.running += 1;
            if call.retry_policy == RetryPolicy::AtMostOnce {
                it.state = State::Running;
            }
        }
        cx.permit(call.request.clone());
    }

    /// Starts the first waiting call of a key of which no attempt has run.
    fn start_next(&mut self, cx: &mut Context, entry: EntryKey) {
        while let Some(it) = self.registry.get_mut(entry) {
            let fingerprint = it.fingerprint;
            let Some(key) = it.waiters.pop_front() else {
                return;
            };
            let Some(call) = self.calls.get(key) else {
                continue;
            };
            if call.fingerprint == fingerprint {
                return self.start(cx, key, Some(entry));
            }
            self.refuse(cx, key, Reason::KeyReused, Run::NotRun);
        }
    }

    /// Removes and returns the calls that wait for a key.
    fn take_waiters(&mut self, entry: EntryKey) -> Vec<CallKey> {
        self.registry
            .get_mut(entry)
            .map(|it| it.waiters.drain(..).collect())
            .unwrap_or_default()
    }

    /// Forwards a call to its home, or looks up its response in the table if the home is gone.
    fn forward_or_look_up(&mut self, cx: &mut Context, view: &View, key: CallKey) {
        let Some(call) = self.calls.get(key) else {
            return;
        };
        let home = call.key.home;
        if view.peers.is_live(home) {
            self.forward(cx, key, home);
        } else {
            self.read_outcome(cx, key);
        }
    }

    fn forward(&mut self, cx: &mut Context, key: CallKey, home: kernel::Incarnation) {
        let Some(call) = self.calls.get_mut(key) else {
            return;
        };
        if call.via == Via::Peer {
            return self.refuse(cx, key, Reason::InProgress, Run::Unknown);
        }
        call.stage = Stage::Forwarded;
        let request = call.request.clone();
        cx.push(Action::Forward { request, home });
    }

    /// Handles the result of a forwarded call.
    pub(crate) fn forwarded(&mut self, cx: &mut Context, request: &RequestId, end: ForwardResult) {
        let Some(key) = self.find(request, |call| call.stage == Stage::Forwarded) else {
            return;
        };
        match end {
            ForwardResult::Relayed => {
                self.calls.remove(key);
            }
            ForwardResult::Failed => self.read_outcome(cx, key),
        }
    }

    /// Handles a caller that disconnected before its call was dispatched.
    pub(crate) fn cancel(&mut self, cx: &mut Context, view: &mut View, request: &RequestId) {
        let Some(key) = self.calls.find(request) else {
            return;
        };
        if self.calls.get(key).is_some_and(Call::is_permitted) {
            // The permit and the cancellation crossed: the permit won't be used.
            return self.finish(cx, view, request, End::Unanswered);
        }
        let entry = self.calls.remove(key).and_then(|call| call.entry);
        if let Some(it) = entry.and_then(|entry| self.registry.get_mut(entry)) {
            it.waiters.retain(|waiter| *waiter != key);
        }
    }

    fn find(&self, request: &RequestId, is: impl Fn(&Call) -> bool) -> Option<CallKey> {
        let key = self.calls.find(request)?;
        is(self.calls.get(key)?).then_some(key)
    }

    fn refuse(&mut self, cx: &mut Context, key: CallKey, reason: Reason, run: Run) {
        if let Some(call) = self.calls.remove(key) {
            cx.refuse(call.request, reason, run);
        }
    }

    /// Sends the stored response once the record that bills it is safe.
    fn replay(
        &mut self,
        cx: &mut Context,
        view: &mut View,
        key: CallKey,
        billed: Serial,
        outcome: crate::Outcome,
    ) {
        let Some(call) = self.calls.remove(key) else {
            return;
        };
        let waiting = Waiter::Retry(call.request, outcome);
        if let Err(Waiter::Retry(request, outcome)) = view.pending.wait(billed, waiting) {
            cx.shared.counters.replays += 1;
            cx.push(Action::Replay { request, outcome });
        }
    }

    /// Removes the expired keys that can be forgotten, and extends the others.
    pub(crate) fn expire_keys(&mut self, cx: &mut Context, pending: &PendingRecords) {
        while let Some(entry) = self.registry.take_expired(cx.now) {
            if self.can_forget(entry, pending) {
                self.delete_claim(entry);
                self.registry.forget(entry);
            } else {
                self.registry.extend(entry, cx.now + EXTENSION);
            }
        }
        if self.registry.len() > 0 {
            cx.arm(EXPIRY_INTERVAL, Timer::ExpireKeys);
        }
    }

    /// Whether a later arrival is still decided correctly without the entry: the call is refused
    /// because its ticket has expired, or the claim's row has the outcome.
    fn can_forget(&self, entry: EntryKey, pending: &PendingRecords) -> bool {
        let Some(it) = self.registry.get(entry) else {
            return true;
        };
        let in_table = it.billed.is_none_or(|serial| pending.get(serial).is_none());
        let row_is_final = it.state != State::Unknown || it.claim.is_none() || it.marked;
        it.is_idle() && in_table && row_is_final
    }

    /// Queues the deletion of the claim of a key of which no attempt has run.
    fn delete_claim(&mut self, entry: EntryKey) {
        let Some(it) = self.registry.get(entry) else {
            return;
        };
        if let (State::Runnable, Some(claim)) = (&it.state, it.claim) {
            self.claim_updates.delete(it.key.clone(), claim.nonce);
        }
    }

    /// Queues the deletion of all claims under which nothing ran, because this host is shutting
    /// down.
    pub(crate) fn delete_unused_claims(&mut self) {
        let unused: Vec<EntryKey> = self
            .registry
            .entries()
            .filter(|(_, it)| it.state == State::Runnable && it.claim.is_some())
            .map(|(entry, _)| entry)
            .collect();
        for entry in unused {
            self.delete_claim(entry);
            self.registry.remove(entry);
        }
    }
}

/// Returns the reason why no new call is started, if there is one.
fn refusal_reason(cx: &mut Context, view: &View) -> Option<Reason> {
    if cx.shared.draining {
        return Some(Reason::Leaving);
    }
    if view.pending.len() >= cx.shared.tuning.held_records {
        cx.shared.counters.refused_full += 1;
        return Some(Reason::StoreOut);
    }
    None
}
