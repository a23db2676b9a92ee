//! Writes this incarnation's records to the table in batches.

use std::time::Duration;

use crate::context::{Context, Purpose};
use crate::peers::Peers;
use crate::pending::PendingRecords;
use crate::table::{Row, Transaction, Unavailable, Written};
use crate::timers::Timer;
use crate::{Record, Serial, rows};

/// Minimum interval between two batches when responses wait for the table because there is no host
/// to copy to.
const URGENT_INTERVAL: Duration = Duration::from_millis(20);

/// Writes batches, one at a time.
///
/// Each batch is a new row that must be absent, and its write requires that this incarnation isn't
/// fenced. Once sent, a batch never changes: after a lost response the same transaction is retried,
/// and an existing row with the same contents is that batch.
#[derive(Debug, Default)]
pub(crate) struct BatchWriter {
    in_flight: Option<BatchInFlight>,
    started_at: Option<Duration>,
    retry_at: Option<Duration>,
}

#[derive(Debug)]
struct BatchInFlight {
    key: String,
    serials: Vec<Serial>,
    transaction: Transaction,
    stage: Stage,
    /// Whether the response of an earlier write of this batch was lost.
    response_lost: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// To be sent, for the first time or as a retry.
    Ready,
    /// Sent, without a result yet.
    Writing,
    /// The existing row under the batch's key is being read.
    Reading,
}

impl BatchInFlight {
    /// Whether `row` is this batch. Compares the parsed contents, because the table may format JSON
    /// differently.
    fn matches(&self, row: &Row) -> bool {
        let parse = |text| serde_json::from_str::<rows::Batch>(text).ok();
        let sent = self.transaction.puts.last();
        sent.and_then(|put| parse(&put.value))
            .is_some_and(|sent| parse(&row.value) == Some(sent))
    }
}

/// Whether a batch showed that this incarnation may write no more batches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FenceStatus {
    /// It isn't known to be fenced, or to be used by another process.
    NotSeen,
    /// It is fenced, or another process writes under it.
    Fenced,
}

impl BatchWriter {
    /// Writes the next batch if it is due.
    pub(crate) fn advance(
        &mut self,
        cx: &mut Context,
        peers: &Peers,
        pending: &PendingRecords,
        urgent: bool,
    ) {
        if let Some(in_flight) = &mut self.in_flight {
            let backing_off = self.retry_at.is_some_and(|at| cx.now < at);
            if in_flight.stage == Stage::Ready && !backing_off {
                in_flight.stage = Stage::Writing;
                cx.transact(Purpose::Batch, in_flight.transaction.clone());
            }
            return;
        }
        let Some(due) = self.due(cx, peers, pending, urgent) else {
            return;
        };
        if due > cx.now {
            cx.shared.timers.arm(due, Timer::Flush);
            return;
        }
        self.start(cx, pending);
    }

    /// Returns the time of the next batch, or `None` if there is nothing to write.
    fn due(
        &self,
        cx: &Context,
        peers: &Peers,
        pending: &PendingRecords,
        urgent: bool,
    ) -> Option<Duration> {
        let first = pending.batch().next()?;
        let added_at = pending.get(first)?.added_at;
        if cx.shared.draining || pending.batch().len() >= cx.shared.tuning.batch_records {
            return Some(cx.now);
        }
        if urgent {
            let after = self.started_at.map(|at| at + URGENT_INTERVAL);
            return Some(after.unwrap_or(cx.now));
        }
        Some(added_at + cx.shared.tuning.interval(peers.host_count()))
    }

    fn start(&mut self, cx: &mut Context, pending: &PendingRecords) {
        let serials: Vec<Serial> = pending
            .batch()
            .take(cx.shared.tuning.batch_records)
            .collect();
        let records: Vec<Record> = serials
            .iter()
            .filter_map(|serial| pending.get(*serial))
            .map(|it| it.encoded.decode())
            .collect();
        let Some(&last) = serials.last() else {
            return;
        };
        let me = cx.shared.me;
        let key = rows::batch_key(me, last);
        let mut puts: Vec<_> = records.iter().filter_map(rows::claim_outcome).collect();
        puts.push(rows::put(key.clone(), &rows::Batch { records }));
        let transaction = Transaction {
            conditions: vec![rows::absent(key.clone()), rows::absent(rows::fence_key(me))],
            puts,
            deletes: Vec::new(),
        };
        cx.shared.timers.disarm(Timer::Flush);
        cx.transact(Purpose::Batch, transaction.clone());
        self.in_flight = Some(BatchInFlight {
            key,
            serials,
            transaction,
            stage: Stage::Writing,
            response_lost: false,
        });
        self.retry_at = None;
        self.started_at = Some(cx.now);
    }

    /// Handles the result of a batch's write.
    pub(crate) fn written(
        &mut self,
        cx: &mut Context,
        pending: &mut PendingRecords,
        result: &Written,
    ) -> FenceStatus {
        let Some(in_flight) = &mut self.in_flight else {
            return FenceStatus::NotSeen;
        };
        match result {
            Written::Applied => self.settle(cx, pending),
            Written::Failed { keys } if keys.contains(&in_flight.key) => {
                in_flight.stage = Stage::Reading;
                cx.read(Purpose::ReadBatch, in_flight.key.clone());
            }
            Written::Failed { .. } => return self.fenced(),
            Written::NotApplied => self.retry(cx),
            Written::Unknown => {
                in_flight.response_lost = true;
                self.retry(cx);
            }
        }
        FenceStatus::NotSeen
    }

    /// Handles the existing row under the batch's key.
    pub(crate) fn read(
        &mut self,
        cx: &mut Context,
        pending: &mut PendingRecords,
        result: Result<Option<Row>, Unavailable>,
    ) -> FenceStatus {
        let Some(in_flight) = &self.in_flight else {
            return FenceStatus::NotSeen;
        };
        let Ok(row) = result else {
            self.retry(cx);
            return FenceStatus::NotSeen;
        };
        match row {
            Some(row) if in_flight.matches(&row) => {
                self.settle(cx, pending);
                FenceStatus::NotSeen
            }
            // Another process writes under this incarnation. No batch can be trusted any more, so
            // the records are settled one by one against the table's contents.
            Some(_) => self.fenced(),
            None => {
                self.retry(cx);
                FenceStatus::NotSeen
            }
        }
    }

    fn settle(&mut self, cx: &mut Context, pending: &mut PendingRecords) {
        let Some(in_flight) = self.in_flight.take() else {
            return;
        };
        cx.shared.counters.batches += 1;
        cx.shared.counters.lost_responses += u64::from(in_flight.response_lost);
        pending.settle(cx, &in_flight.serials);
    }

    fn retry(&mut self, cx: &mut Context) {
        if let Some(in_flight) = &mut self.in_flight {
            in_flight.stage = Stage::Ready;
        }
        let at = cx.retry_at();
        self.retry_at = Some(at);
        cx.shared.timers.arm(at, Timer::Flush);
    }

    fn fenced(&mut self) -> FenceStatus {
        self.stop();
        FenceStatus::Fenced
    }

    /// Discards the batch in flight. Settlement looks for its records in the table.
    pub(crate) fn stop(&mut self) {
        *self = Self::default();
    }
}
