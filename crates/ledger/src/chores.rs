//! Background updates of claim rows.

use std::collections::VecDeque;

use kernel::RequestKey;

use crate::cx::{Cx, Purpose};
use crate::rows::Claim;
use crate::table::{Condition, Expect, Row, Transaction, Unavailable, Written};
use crate::timers::Timer;
use crate::{Fingerprint, rows};

/// Maximum number of claims that one transaction marks as unknown.
const MARKED: usize = 100;

/// Background updates of claim rows, one operation at a time. No caller waits for them.
#[derive(Debug, Default)]
pub(crate) struct Chores {
    marks: VecDeque<Mark>,
    frees: VecDeque<Free>,
    busy: Option<Busy>,
    waits: bool,
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
struct Free {
    key: RequestKey,
    nonce: u64,
}

#[derive(Debug)]
enum Busy {
    Marking(Vec<Mark>),
    Freeing(Free),
}

impl Chores {
    pub(crate) fn is_empty(&self) -> bool {
        self.marks.is_empty() && self.frees.is_empty() && self.busy.is_none()
    }

    pub(crate) fn mark(&mut self, key: RequestKey, fingerprint: Fingerprint) {
        self.marks.push_back(Mark { key, fingerprint });
    }

    pub(crate) fn free(&mut self, key: RequestKey, nonce: u64) {
        self.frees.push_back(Free { key, nonce });
    }

    /// Ends the retry delay.
    pub(crate) fn resume(&mut self) {
        self.waits = false;
    }

    pub(crate) fn pump(&mut self, cx: &mut Cx) {
        if self.busy.is_some() || self.waits {
            return;
        }
        if !self.marks.is_empty() {
            let count = self.marks.len().min(MARKED);
            let marks: Vec<Mark> = self.marks.drain(..count).collect();
            cx.transact(Purpose::Mark, mark_rows(&marks));
            self.busy = Some(Busy::Marking(marks));
        } else if let Some(free) = self.frees.pop_front() {
            cx.read(Purpose::ReadFree, rows::claim(&free.key));
            self.busy = Some(Busy::Freeing(free));
        }
    }

    /// Handles the result of a marking transaction. Returns the keys whose rows are marked.
    pub(crate) fn marked(&mut self, cx: &mut Cx, result: &Written) -> Vec<RequestKey> {
        let Some(Busy::Marking(marks)) = self.busy.take() else {
            return Vec::new();
        };
        if *result == Written::Applied {
            return marks.into_iter().map(|mark| mark.key).collect();
        }
        for mark in marks.into_iter().rev() {
            self.marks.push_front(mark);
        }
        self.wait(cx);
        Vec::new()
    }

    /// Handles the row of a claim that is to be deleted.
    ///
    /// The deletion requires the version that was read: this host may have claimed the key again
    /// since, under another nonce.
    pub(crate) fn read(&mut self, cx: &mut Cx, result: Result<Option<Row>, Unavailable>) {
        let Some(Busy::Freeing(free)) = self.busy.take() else {
            return;
        };
        let Ok(row) = result else {
            self.frees.push_back(free);
            return self.wait(cx);
        };
        let Some(row) = row.filter(|row| is_claimed(cx, row, free.nonce)) else {
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
        cx.transact(Purpose::Free, transaction);
        self.busy = Some(Busy::Freeing(free));
    }

    /// Handles the result of a deletion.
    pub(crate) fn freed(&mut self, cx: &mut Cx, result: &Written) {
        let Some(Busy::Freeing(free)) = self.busy.take() else {
            return;
        };
        if matches!(result, Written::NotApplied | Written::Unknown) {
            self.frees.push_back(free);
            self.wait(cx);
        }
    }

    fn wait(&mut self, cx: &mut Cx) {
        self.waits = true;
        let at = cx.retry_at();
        cx.shared.timers.arm(at, Timer::Chore);
    }
}

fn mark_rows(marks: &[Mark]) -> Transaction {
    let put = |mark: &Mark| {
        let value = Claim::Unknown {
            fingerprint: mark.fingerprint,
        };
        rows::put(rows::claim(&mark.key), &value)
    };
    Transaction {
        puts: marks.iter().map(put).collect(),
        ..Transaction::default()
    }
}

fn is_claimed(cx: &Cx, row: &Row, mine: u64) -> bool {
    let own = |holder| holder == cx.shared.me || cx.shared.former.contains(&holder);
    matches!(
        serde_json::from_str(&row.value),
        Ok(Claim::Claimed { holder, nonce, .. }) if own(holder) && nonce == mine
    )
}
