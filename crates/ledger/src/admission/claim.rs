//! Claims in the table, for calls without a ticket.

use crate::admission::{Admission, View, refusal_reason};
use crate::calls::CallKey;
use crate::context::{Context, Purpose};
use crate::registry::{EntryKey, OwnClaim, State};
use crate::rows::Claim;
use crate::table::{Condition, Expect, Row, Transaction, Unavailable, Written};
use crate::timers::Timer;
use crate::{Reason, Run, rows};

impl Admission {
    /// Claims the key of a call in the table. The call waits for the result.
    pub(super) fn claim(&mut self, cx: &mut Context, view: &View, key: CallKey) {
        let unavailable = cx.table_recently_failed().then_some(Reason::StoreOut);
        let full = self.is_full(cx).then_some(Reason::Overloaded);
        if let Some(reason) = refusal_reason(cx, view).or(unavailable).or(full) {
            // Another host may have run the key before, and only the table knows.
            return self.refuse(cx, key, reason, Run::Unknown);
        }
        let expires = cx.now + cx.shared.tuning.key_retention;
        let Some(entry) = self.remember(cx, key, State::Claiming, expires) else {
            return;
        };
        let claim = OwnClaim {
            nonce: cx.nonce(),
            deadline: cx.now + cx.shared.tuning.claim_timeout,
        };
        if let Some(it) = self.registry.get_mut(entry) {
            it.claim = Some(claim);
            it.waiters.push_back(key);
        }
        self.write_claim(cx, entry, Expect::Absent);
    }

    /// Writes the claim, for the first time or as a retry.
    fn write_claim(&mut self, cx: &mut Context, entry: EntryKey, expect: Expect) {
        let Some(it) = self.registry.get(entry) else {
            return;
        };
        let Some(claim) = it.claim else {
            return;
        };
        let key = rows::claim_key(&it.key);
        let row = Claim::Claimed {
            holder: cx.shared.me,
            nonce: claim.nonce,
            fingerprint: it.fingerprint,
        };
        let transaction = Transaction {
            conditions: vec![Condition {
                key: key.clone(),
                expect,
            }],
            puts: vec![rows::put(key, &row)],
            deletes: Vec::new(),
        };
        cx.transact(Purpose::Claim(entry), transaction);
    }

    /// Handles the result of a claim's write.
    pub(crate) fn claimed(&mut self, cx: &mut Context, entry: EntryKey, result: &Written) {
        let Some(it) = self.registry.get(entry) else {
            return;
        };
        match result {
            Written::Applied => self.claim_won(cx, entry),
            Written::Failed { .. } => cx.read(Purpose::ReadClaim(entry), rows::claim_key(&it.key)),
            Written::NotApplied => self.abandon_claim(cx, entry),
            Written::Unknown => self.retry_claim_later(cx, entry),
        }
    }

    /// Retries a claim's write.
    pub(crate) fn retry_claim(&mut self, cx: &mut Context, entry: EntryKey) {
        if self
            .registry
            .get(entry)
            .is_some_and(|it| it.state == State::Claiming)
        {
            self.write_claim(cx, entry, Expect::Absent);
        }
    }

    fn retry_claim_later(&mut self, cx: &mut Context, entry: EntryKey) {
        let own_claim = self.registry.get(entry).and_then(|it| it.claim);
        if own_claim.is_some_and(|claim| cx.now < claim.deadline) {
            let at = cx.retry_at();
            cx.shared.timers.arm(at, Timer::RetryClaim(entry));
        } else {
            self.abandon_claim(cx, entry);
        }
    }

    /// Abandons a claim that couldn't be confirmed. If its write is applied after all, the row
    /// names this host, so other hosts forward calls of the key to it.
    fn abandon_claim(&mut self, cx: &mut Context, entry: EntryKey) {
        for waiter in self.take_waiters(entry) {
            self.refuse(cx, waiter, Reason::StoreOut, Run::Unknown);
        }
        self.registry.remove(entry);
    }

    /// Handles a successful claim: only this host may run the key.
    fn claim_won(&mut self, cx: &mut Context, entry: EntryKey) {
        if let Some(it) = self.registry.get_mut(entry) {
            it.state = State::Runnable;
        }
        self.start_next(cx, entry);
    }

    /// Handles the row that already existed when the claim was written.
    pub(crate) fn read_claim(
        &mut self,
        cx: &mut Context,
        view: &View,
        entry: EntryKey,
        result: Result<Option<Row>, Unavailable>,
    ) {
        if self.registry.get(entry).is_none() {
            return;
        }
        let row = match result {
            Ok(Some(row)) => row,
            // The claim was deleted since.
            Ok(None) => return self.write_claim(cx, entry, Expect::Absent),
            Err(Unavailable) => return self.retry_claim_later(cx, entry),
        };
        match serde_json::from_str(&row.value) {
            // The row is this host's own claim: either this write was applied and its response was
            // lost, or an abandoned one was applied later. Nothing ran under it, because a key that
            // ran is remembered until its row says so. The claim is written again under a new
            // version, so that a pending deletion of the old claim fails.
            Ok(Claim::Claimed { holder, .. }) if holder == cx.shared.me => {
                cx.shared.counters.lost_responses += 1;
                self.write_claim(cx, entry, Expect::Version(row.version));
            }
            claim => self.claim_lost(cx, view, entry, claim.ok().as_ref()),
        }
    }

    /// Handles a key that another host decides about: forwards or refuses every call that waits for
    /// it.
    fn claim_lost(
        &mut self,
        cx: &mut Context,
        view: &View,
        entry: EntryKey,
        claim: Option<&Claim>,
    ) {
        for waiter in self.take_waiters(entry) {
            if let Some(call) = self.calls.get_mut(waiter) {
                call.entry = None;
            }
            match claim {
                Some(Claim::Claimed { holder, .. }) if view.peers.is_live(*holder) => {
                    self.forward(cx, waiter, *holder);
                }
                claim => self.respond_from_row(cx, waiter, claim, Reason::HolderGone),
            }
        }
        self.registry.remove(entry);
    }
}
