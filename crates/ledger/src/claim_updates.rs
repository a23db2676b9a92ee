//! Background updates of claim rows.

use std::collections::VecDeque;

use kernel::RequestKey;

use crate::context::{Context, Purpose};
use crate::rows::Claim;
use crate::table::{Condition, Expect, Row, Transaction, Unavailable, Written};
use crate::timers::Timer;
use crate::{Fingerprint, rows};

/// Maximum number of claims that one transaction marks as unknown.
const MAX_MARKED: usize = 100;

/// Background updates of claim rows, one operation at a time. No caller waits for them.
#[derive(Debug, Default)]
pub(crate) struct ClaimUpdates {
    marks: VecDeque<Mark>,
    deletions: VecDeque<Deletion>,
    in_flight: Option<InFlight>,
    backing_off: bool,
}

/// A claim whose outcome is permanently unknown. Once its row says so, this host may forget the
/// key.
#[derive(Clone, Debug)]
struct Mark {
    key: RequestKey,
    fingerprint: Fingerprint,
}

/// A claim under which nothing ran. Its row is deleted, so that any host may run the key.
#[derive(Clone, Debug)]
struct Deletion {
    key: RequestKey,
    nonce: u64,
}

#[derive(Debug)]
enum InFlight {
    Marking(Vec<Mark>),
    Deleting(Deletion),
}

impl ClaimUpdates {
    pub(crate) fn is_empty(&self) -> bool {
        self.marks.is_empty() && self.deletions.is_empty() && self.in_flight.is_none()
    }

    pub(crate) fn mark_unknown(&mut self, key: RequestKey, fingerprint: Fingerprint) {
        self.marks.push_back(Mark { key, fingerprint });
    }

    pub(crate) fn delete(&mut self, key: RequestKey, nonce: u64) {
        self.deletions.push_back(Deletion { key, nonce });
    }

    /// Ends the retry delay.
    pub(crate) fn end_backoff(&mut self) {
        self.backing_off = false;
    }

    pub(crate) fn advance(&mut self, cx: &mut Context) {
        if self.in_flight.is_some() || self.backing_off {
            return;
        }
        if !self.marks.is_empty() {
            let count = self.marks.len().min(MAX_MARKED);
            let marks: Vec<Mark> = self.marks.drain(..count).collect();
            cx.transact(Purpose::MarkUnknown, mark_rows(&marks));
            self.in_flight = Some(InFlight::Marking(marks));
        } else if let Some(deletion) = self.deletions.pop_front() {
            cx.read(Purpose::ReadForDeletion, rows::claim_key(&deletion.key));
            self.in_flight = Some(InFlight::Deleting(deletion));
        }
    }

    /// Handles the result of a marking transaction. Returns the keys whose rows are marked.
    pub(crate) fn marked(&mut self, cx: &mut Context, result: &Written) -> Vec<RequestKey> {
        let Some(InFlight::Marking(marks)) = self.in_flight.take() else {
            return Vec::new();
        };
        if *result == Written::Applied {
            return marks.into_iter().map(|mark| mark.key).collect();
        }
        for mark in marks.into_iter().rev() {
            self.marks.push_front(mark);
        }
        self.back_off(cx);
        Vec::new()
    }

    /// Handles the row of a claim that is to be deleted.
    ///
    /// The deletion requires the version that was read: this host may have claimed the key again
    /// since, under another nonce.
    pub(crate) fn read(&mut self, cx: &mut Context, result: Result<Option<Row>, Unavailable>) {
        let Some(InFlight::Deleting(deletion)) = self.in_flight.take() else {
            return;
        };
        let Ok(row) = result else {
            self.deletions.push_back(deletion);
            return self.back_off(cx);
        };
        let Some(row) = row.filter(|row| is_claimed(cx, row, deletion.nonce)) else {
            return;
        };
        let transaction = Transaction {
            conditions: vec![Condition {
                key: row.key.clone(),
                expect: Expect::Version(row.version),
            }],
            puts: Vec::new(),
            deletes: vec![row.key],
        };
        cx.transact(Purpose::DeleteClaim, transaction);
        self.in_flight = Some(InFlight::Deleting(deletion));
    }

    /// Handles the result of a deletion.
    pub(crate) fn deleted(&mut self, cx: &mut Context, result: &Written) {
        let Some(InFlight::Deleting(deletion)) = self.in_flight.take() else {
            return;
        };
        if matches!(result, Written::NotApplied | Written::Unknown) {
            self.deletions.push_back(deletion);
            self.back_off(cx);
        }
    }

    fn back_off(&mut self, cx: &mut Context) {
        self.backing_off = true;
        let at = cx.retry_at();
        cx.shared.timers.arm(at, Timer::RetryClaimUpdates);
    }
}

fn mark_rows(marks: &[Mark]) -> Transaction {
    let put = |mark: &Mark| {
        let value = Claim::Unknown {
            fingerprint: mark.fingerprint,
        };
        rows::put(rows::claim_key(&mark.key), &value)
    };
    Transaction {
        puts: marks.iter().map(put).collect(),
        ..Transaction::default()
    }
}

fn is_claimed(cx: &Context, row: &Row, own_nonce: u64) -> bool {
    let own = |holder| holder == cx.shared.me || cx.shared.former.contains(&holder);
    matches!(
        serde_json::from_str(&row.value),
        Ok(Claim::Claimed { holder, nonce, .. }) if own(holder) && nonce == own_nonce
    )
}
