//! Writes this incarnation's records to the table in batches.

use std::time::Duration;

use crate::cx::{Cx, Purpose};
use crate::holdings::Holdings;
use crate::peers::Peers;
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
pub(crate) struct Writer {
    flight: Option<Flight>,
    written_at: Option<Duration>,
    retry_at: Option<Duration>,
}

#[derive(Debug)]
struct Flight {
    key: String,
    serials: Vec<Serial>,
    transaction: Transaction,
    stage: Stage,
    /// Whether the response of an earlier write of this batch was lost.
    lost: bool,
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

impl Flight {
    /// Whether `row` is this batch. Compares the parsed contents, because the table may format JSON
    /// differently.
    fn is(&self, row: &Row) -> bool {
        let parse = |text| serde_json::from_str::<rows::Batch>(text).ok();
        let sent = self.transaction.puts.last();
        sent.and_then(|put| parse(&put.value))
            .is_some_and(|sent| parse(&row.value) == Some(sent))
    }
}

/// Whether a batch showed that this incarnation is fenced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Finding {
    /// It isn't known to be fenced.
    None,
    /// Another host has fenced it.
    Fenced,
}

impl Writer {
    /// Writes the next batch if it is due.
    pub(crate) fn pump(&mut self, cx: &mut Cx, peers: &Peers, holdings: &Holdings, urgent: bool) {
        if let Some(flight) = &mut self.flight {
            let waits = self.retry_at.is_some_and(|at| cx.now < at);
            if flight.stage == Stage::Ready && !waits {
                flight.stage = Stage::Writing;
                cx.transact(Purpose::Batch, flight.transaction.clone());
            }
            return;
        }
        let Some(due) = self.due(cx, peers, holdings, urgent) else {
            return;
        };
        if due > cx.now {
            cx.shared.timers.arm(due, Timer::Flush);
            return;
        }
        self.start(cx, holdings);
    }

    /// Returns the time of the next batch, or `None` if there is nothing to write.
    fn due(&self, cx: &Cx, peers: &Peers, holdings: &Holdings, urgent: bool) -> Option<Duration> {
        let first = holdings.batch().next()?;
        let since = holdings.get(first)?.since;
        if cx.shared.draining || holdings.batch().len() >= cx.shared.tuning.batch_records {
            return Some(cx.now);
        }
        if urgent {
            let after = self.written_at.map(|at| at + URGENT_INTERVAL);
            return Some(after.unwrap_or(cx.now));
        }
        Some(since + cx.shared.tuning.interval(peers.hosts()))
    }

    fn start(&mut self, cx: &mut Cx, holdings: &Holdings) {
        let serials: Vec<Serial> = holdings
            .batch()
            .take(cx.shared.tuning.batch_records)
            .collect();
        let records: Vec<Record> = serials
            .iter()
            .filter_map(|serial| holdings.get(*serial))
            .map(|held| held.record.unpack())
            .collect();
        let Some(&last) = serials.last() else {
            return;
        };
        let me = cx.shared.me;
        let key = rows::batch(me, last);
        let mut puts: Vec<_> = records.iter().filter_map(rows::outcome).collect();
        puts.push(rows::put(key.clone(), &rows::Batch { records }));
        let transaction = Transaction {
            conditions: vec![rows::absent(key.clone()), rows::absent(rows::fence(me))],
            puts,
            deletes: Vec::new(),
        };
        cx.shared.timers.disarm(Timer::Flush);
        cx.transact(Purpose::Batch, transaction.clone());
        self.flight = Some(Flight {
            key,
            serials,
            transaction,
            stage: Stage::Writing,
            lost: false,
        });
        self.retry_at = None;
        self.written_at = Some(cx.now);
    }

    /// Handles the result of a batch's write.
    pub(crate) fn written(
        &mut self,
        cx: &mut Cx,
        holdings: &mut Holdings,
        result: &Written,
    ) -> Finding {
        let Some(flight) = &mut self.flight else {
            return Finding::None;
        };
        match result {
            Written::Applied => self.settle(cx, holdings),
            Written::Failed { keys } if keys.contains(&flight.key) => {
                flight.stage = Stage::Reading;
                cx.read(Purpose::ReadBatch, flight.key.clone());
            }
            Written::Failed { .. } => return self.fenced(),
            Written::NotApplied => self.retry(cx),
            Written::Unknown => {
                flight.lost = true;
                self.retry(cx);
            }
        }
        Finding::None
    }

    /// Handles the existing row under the batch's key.
    pub(crate) fn read(
        &mut self,
        cx: &mut Cx,
        holdings: &mut Holdings,
        result: Result<Option<Row>, Unavailable>,
    ) -> Finding {
        let Some(flight) = &self.flight else {
            return Finding::None;
        };
        let Ok(row) = result else {
            self.retry(cx);
            return Finding::None;
        };
        match row {
            Some(row) if flight.is(&row) => {
                self.settle(cx, holdings);
                Finding::None
            }
            // Another process writes under this incarnation. No batch can be trusted any more, so
            // the records are settled one by one against the table's contents.
            Some(_) => self.fenced(),
            None => {
                self.retry(cx);
                Finding::None
            }
        }
    }

    fn settle(&mut self, cx: &mut Cx, holdings: &mut Holdings) {
        let Some(flight) = self.flight.take() else {
            return;
        };
        cx.shared.counters.batches += 1;
        cx.shared.counters.lost_answers += u64::from(flight.lost);
        holdings.settle(cx, &flight.serials);
    }

    fn retry(&mut self, cx: &mut Cx) {
        if let Some(flight) = &mut self.flight {
            flight.stage = Stage::Ready;
        }
        let at = cx.retry_at();
        self.retry_at = Some(at);
        cx.shared.timers.arm(at, Timer::Flush);
    }

    fn fenced(&mut self) -> Finding {
        self.stop();
        Finding::Fenced
    }

    /// Discards the batch in flight. Settlement looks for its records in the table.
    pub(crate) fn stop(&mut self) {
        *self = Self::default();
    }
}
