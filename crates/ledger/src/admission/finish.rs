//! Attempts and ends of permitted calls.

use kernel::{Incarnation, RequestId};

use crate::admission::{Admission, View};
use crate::calls::{Call, Scope, Stage};
use crate::context::Context;
use crate::pending::{Waiter, WritePath};
use crate::registry::{EntryKey, State};
use crate::{
    Action, Charge, Durability, End, Outcome, Reason, Record, Replay, RetryPolicy, Run, Serial,
};

impl Admission {
    /// Counts an attempt that is about to be sent.
    pub(crate) fn attempt_sending(&mut self, request: &RequestId) {
        self.count_sent(request, u32::checked_add);
    }

    /// Subtracts an attempt that is proved not to have run.
    pub(crate) fn attempt_not_run(&mut self, request: &RequestId) {
        self.count_sent(request, u32::checked_sub);
    }

    fn count_sent(&mut self, request: &RequestId, step: fn(u32, u32) -> Option<u32>) {
        let Some(call) = self
            .calls
            .find(request)
            .and_then(|key| self.calls.get_mut(key))
        else {
            return;
        };
        let Stage::Permitted { sent } = &mut call.stage else {
            return;
        };
        // An unmatched report is ignored.
        let Some(count) = step(*sent, 1) else {
            return;
        };
        *sent = count;
        let entry = call.entry.and_then(|entry| self.registry.get_mut(entry));
        if let Some(it) = entry {
            it.sent = step(it.sent, 1).unwrap_or(it.sent);
        }
    }

    /// Handles the end of a permitted call.
    pub(crate) fn finish(
        &mut self,
        cx: &mut Context,
        view: &mut View,
        request: &RequestId,
        end: End,
    ) {
        let Some(key) = self.find(request, Call::is_permitted) else {
            return;
        };
        let Some(call) = self.calls.remove(key) else {
            return;
        };
        if let Some(it) = call.entry.and_then(|entry| self.registry.get_mut(entry)) {
            it.running = it.running.saturating_sub(1);
        }
        match end {
            End::Answered { outcome, charge } => self.answered(cx, view, &call, outcome, charge),
            End::Unanswered => self.unanswered(cx, &call),
        }
    }

    fn answered(
        &mut self,
        cx: &mut Context,
        view: &mut View,
        call: &Call,
        outcome: Option<Outcome>,
        charge: Charge,
    ) {
        let outcome = outcome.filter(|it| it.len() <= cx.shared.tuning.max_outcome_bytes);
        let waiter = Waiter::Response(call.request.clone());
        let record = to_record(cx.shared.me, call, charge, outcome.clone());
        let write_path = WritePath::of(cx, &record);
        let Some(entry) = call.entry else {
            view.pending.add(cx, record, write_path, vec![waiter]);
            return;
        };
        let billed = self.registry.get(entry).and_then(|it| it.billed);
        let serial = if let Some(serial) = billed {
            if view.pending.wait(serial, waiter).is_err() {
                cx.push(Action::Release {
                    request: call.request.clone(),
                    durability: Durability::Billed,
                });
            }
            serial
        } else {
            view.pending.add(cx, record, write_path, vec![waiter])
        };
        self.record_response(cx, entry, serial, call.retry_policy, outcome.clone());
        self.respond_to_waiters(cx, view, entry, serial, outcome.as_ref());
    }

    fn record_response(
        &mut self,
        cx: &Context,
        entry: EntryKey,
        serial: Serial,
        retry_policy: RetryPolicy,
        outcome: Option<Outcome>,
    ) {
        if let Some(it) = self.registry.get_mut(entry) {
            it.billed = Some(serial);
        }
        if outcome.is_some() || retry_policy == RetryPolicy::AtMostOnce {
            let total = cx.shared.tuning.max_total_outcome_bytes;
            self.registry.store_response(entry, outcome, total);
        }
    }

    fn respond_to_waiters(
        &mut self,
        cx: &mut Context,
        view: &mut View,
        entry: EntryKey,
        serial: Serial,
        outcome: Option<&Outcome>,
    ) {
        for waiter in self.take_waiters(entry) {
            match outcome {
                Some(outcome) => self.replay(cx, view, waiter, serial, outcome.clone()),
                None => self.refuse(cx, waiter, Reason::AnswerCut, Run::Unknown),
            }
        }
    }

    fn unanswered(&mut self, cx: &mut Context, call: &Call) {
        let sent = call.stage != Stage::Permitted { sent: 0 };
        let run = if sent {
            Run::Unknown
        } else {
            call.run_state(&self.registry)
        };
        cx.push(Action::Close {
            request: call.request.clone(),
            run,
        });
        let Some(entry) = call.entry else {
            return;
        };
        if call.retry_policy == RetryPolicy::Idempotent {
            return;
        }
        if sent {
            self.record_unknown(cx, entry);
        } else {
            if let Some(it) = self.registry.get_mut(entry) {
                it.state = State::Runnable;
            }
            self.start_next(cx, entry);
        }
    }

    /// Records that an attempt of a key was sent and got no response. The key stays unknown.
    fn record_unknown(&mut self, cx: &mut Context, entry: EntryKey) {
        if let Some(it) = self.registry.get_mut(entry) {
            it.state = State::Unknown;
            if it.claim.is_some() {
                self.claim_updates
                    .mark_unknown(it.key.clone(), it.fingerprint);
            }
        }
        for waiter in self.take_waiters(entry) {
            self.refuse(cx, waiter, Reason::UpstreamFailed, Run::Unknown);
        }
    }

    /// Records that the rows of these keys say that their outcome is unknown.
    pub(crate) fn record_marked(&mut self, keys: &[kernel::RequestKey]) {
        for key in keys {
            let entry = self.registry.find(key);
            if let Some(it) = entry.and_then(|entry| self.registry.get_mut(entry)) {
                it.marked = true;
            }
        }
    }
}

fn to_record(maker: Incarnation, call: &Call, charge: Charge, outcome: Option<Outcome>) -> Record {
    let keyed = call.scope != Scope::Keyless;
    let replay = (keyed && call.retry_policy == RetryPolicy::AtMostOnce).then_some(Replay {
        fingerprint: call.fingerprint,
        outcome,
    });
    Record {
        serial: Serial::default(),
        key: call.key.clone(),
        maker,
        floor: call.floor,
        charge,
        replay,
    }
}
