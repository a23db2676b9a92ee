//! Settlement of records that no batch of this incarnation may contain.

use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

use kernel::{Incarnation, RequestKey};

use crate::context::{Context, Purpose};
use crate::peers::Peers;
use crate::pending::{PendingRecord, PendingRecords, SettlementPhase};
use crate::rows::NO_HOME;
use crate::table::{Page, Transaction, Unavailable, Written};
use crate::timers::Timer;
use crate::{Message, Record, Serial, rows};

/// Number of batches that a search reads at a time.
const SCAN_LIMIT: usize = 32;
/// Maximum number of records that one transaction inserts or one message offers.
const MAX_INSERTS: usize = 100;

/// Settles records that aren't written in batches.
///
/// A live home adopts its records. For a home that is gone, the settler fences it, so that it can
/// write no further batch, searches its batches for the keys, and inserts one row for each key that
/// wasn't found. Each insert requires that the row is absent, so several hosts may settle the same
/// records at the same time.
#[derive(Debug, Default)]
pub(crate) struct Settler {
    homes: BTreeMap<Incarnation, Settlement>,
}

#[derive(Debug, Default)]
struct Settlement {
    step: Step,
    retry_at: Duration,
}

#[derive(Debug, Default)]
enum Step {
    #[default]
    Idle,
    Fencing,
    Scanning(Scan),
    Inserting(Vec<Serial>),
}

#[derive(Debug)]
struct Scan {
    serials: Vec<Serial>,
    found: HashSet<RequestKey>,
}

impl Settler {
    /// Starts the next step for every home that has one due.
    pub(crate) fn advance(
        &mut self,
        cx: &mut Context,
        peers: &mut Peers,
        pending: &mut PendingRecords,
        urgent: bool,
    ) {
        let homes = pending.homes();
        if homes.is_empty() && self.homes.is_empty() {
            return;
        }
        self.homes.retain(|home, settlement| {
            homes.contains(home) || !matches!(settlement.step, Step::Idle)
        });
        for home in homes {
            self.advance_home(cx, peers, pending, home, urgent);
        }
    }

    fn advance_home(
        &mut self,
        cx: &mut Context,
        peers: &mut Peers,
        pending: &mut PendingRecords,
        home: Incarnation,
        urgent: bool,
    ) {
        let settlement = self.homes.entry(home).or_default();
        if !matches!(settlement.step, Step::Idle) {
            return;
        }
        if cx.now < settlement.retry_at {
            cx.shared
                .timers
                .arm(settlement.retry_at, Timer::Settle(home));
            return;
        }
        if home == NO_HOME {
            let due = due(cx, peers, pending, urgent);
            if due > cx.now {
                cx.shared.timers.arm(due, Timer::Settle(home));
            } else {
                settlement.insert(cx, pending, home);
            }
        } else if cx.shared.has_no_more_batches(home) {
            if pending
                .single(home)
                .any(|record| record.phase != SettlementPhase::NotBilled)
            {
                settlement.scan(cx, pending, home);
            } else {
                settlement.insert(cx, pending, home);
            }
        } else if cx.shared.can_adopt(peers, home) {
            offer(cx, pending, home);
        } else {
            settlement.fence(cx, peers, home);
        }
    }

    /// Handles the result of writing a fence.
    pub(crate) fn fenced(&mut self, cx: &mut Context, home: Incarnation, result: &Written) {
        let Some(settlement) = self.homes.get_mut(&home) else {
            return;
        };
        settlement.step = Step::Idle;
        match result {
            Written::Applied => cx.shared.counters.fences += 1,
            // The home is already fenced.
            Written::Failed { .. } => {}
            Written::NotApplied | Written::Unknown => return settlement.retry_later(cx, home),
        }
        cx.shared.fenced.insert(home);
    }

    /// Handles a page of a home's batches.
    pub(crate) fn scanned(
        &mut self,
        cx: &mut Context,
        pending: &mut PendingRecords,
        home: Incarnation,
        result: Result<Page, Unavailable>,
    ) {
        let Some(settlement) = self.homes.get_mut(&home) else {
            return;
        };
        let Step::Scanning(scan) = &mut settlement.step else {
            return;
        };
        let Ok(page) = result else {
            settlement.step = Step::Idle;
            return settlement.retry_later(cx, home);
        };
        match scan.collect_keys(home, &page) {
            Ok(Some(last)) => cx.scan(Purpose::Scan(home), home, last, SCAN_LIMIT),
            Ok(None) => {
                let (serials, found) = (
                    std::mem::take(&mut scan.serials),
                    std::mem::take(&mut scan.found),
                );
                settlement.step = Step::Idle;
                apply_search(cx, pending, &serials, &found);
            }
            // An unreadable row may contain any of the keys, so nothing is billed until an operator
            // has repaired it.
            Err(_) => {
                settlement.step = Step::Idle;
                settlement.retry_later(cx, home);
            }
        }
    }

    /// Handles the result of an insertion.
    pub(crate) fn inserted(
        &mut self,
        cx: &mut Context,
        pending: &mut PendingRecords,
        home: Incarnation,
        result: &Written,
    ) {
        let Some(settlement) = self.homes.get_mut(&home) else {
            return;
        };
        let Step::Inserting(serials) = std::mem::take(&mut settlement.step) else {
            return;
        };
        match result {
            Written::Applied => {
                cx.shared.counters.settled += serials.len() as u64;
                pending.settle(cx, &serials);
            }
            // These keys are billed already, by another host or by a write of this one whose
            // response was lost. The others are inserted in the next try.
            Written::Failed { keys } => {
                let billed: Vec<Serial> = serials
                    .into_iter()
                    .filter(|serial| {
                        pending.get(*serial).is_some_and(|record| {
                            keys.contains(&rows::single_key(&record.encoded.decode().key))
                        })
                    })
                    .collect();
                cx.shared.counters.billed_before += billed.len() as u64;
                pending.settle(cx, &billed);
            }
            Written::NotApplied | Written::Unknown => settlement.retry_later(cx, home),
        }
    }

    /// Handles the adoption of records by their home.
    pub(crate) fn adopted(
        cx: &mut Context,
        pending: &mut PendingRecords,
        from: Incarnation,
        serials: &[Serial],
    ) {
        let known: Vec<Serial> = serials
            .iter()
            .copied()
            .filter(|serial| {
                pending
                    .get(*serial)
                    .is_some_and(|record| record.encoded.home == from)
            })
            .collect();
        pending.settle(cx, &known);
    }
}

impl Settlement {
    fn fence(&mut self, cx: &mut Context, peers: &mut Peers, home: Incarnation) {
        let due = if cx.shared.former.contains(&home) {
            cx.now
        } else {
            peers.gone_since(cx.now, home) + cx.shared.tuning.fence_after
        };
        if due > cx.now {
            cx.shared.timers.arm(due, Timer::Settle(home));
            return;
        }
        let key = rows::fence_key(home);
        let transaction = Transaction {
            conditions: vec![rows::absent(key.clone())],
            puts: vec![rows::put(key, &cx.shared.me)],
            deletes: Vec::new(),
        };
        self.step = Step::Fencing;
        cx.transact(Purpose::Fence(home), transaction);
    }

    fn scan(&mut self, cx: &mut Context, pending: &PendingRecords, home: Incarnation) {
        let unknown = || {
            pending
                .single(home)
                .filter(|record| record.phase != SettlementPhase::NotBilled)
        };
        let serials = unknown().map(|record| record.encoded.serial).collect();
        let floor = unknown().map(|record| record.encoded.floor).min();
        self.step = Step::Scanning(Scan {
            serials,
            found: HashSet::new(),
        });
        let after = Serial(floor.unwrap_or_default().0.saturating_sub(1));
        cx.scan(Purpose::Scan(home), home, after, SCAN_LIMIT);
    }

    fn insert(&mut self, cx: &mut Context, pending: &PendingRecords, home: Incarnation) {
        let mut keys = HashSet::new();
        let records: Vec<Record> = pending
            .single(home)
            .map(|it| it.encoded.decode())
            .filter(|record| keys.insert(record.key.clone()))
            .take(MAX_INSERTS)
            .collect();
        let mut transaction = Transaction::default();
        for record in &records {
            let key = rows::single_key(&record.key);
            transaction.conditions.push(rows::absent(key.clone()));
            transaction.puts.push(rows::put(key, record));
            transaction.puts.extend(rows::claim_outcome(record));
        }
        self.step = Step::Inserting(records.iter().map(|record| record.serial).collect());
        cx.transact(Purpose::Insert(home), transaction);
    }

    fn retry_later(&mut self, cx: &mut Context, home: Incarnation) {
        self.retry_at = cx.retry_at();
        cx.shared.timers.arm(self.retry_at, Timer::Settle(home));
    }
}

impl Scan {
    /// Collects the keys of a page. Returns the serial after which the search continues, or `None`
    /// at its end.
    fn collect_keys(
        &mut self,
        home: Incarnation,
        page: &Page,
    ) -> Result<Option<Serial>, serde_json::Error> {
        let mut last = None;
        for row in &page.rows {
            let Some(serial) = rows::batch_serial(home, &row.key) else {
                return Ok(None);
            };
            let batch: rows::Batch = serde_json::from_str(&row.value)?;
            self.found
                .extend(batch.records.into_iter().map(|record| record.key));
            last = Some(serial);
        }
        Ok(last.filter(|_| page.more))
    }
}

/// Marks the records that were offered to `home` and not adopted, so that they are offered again.
pub(crate) fn reset_offers(pending: &mut PendingRecords, home: Incarnation) {
    let offered: Vec<Serial> = pending
        .single(home)
        .filter(|record| record.phase == SettlementPhase::Offered)
        .map(|record| record.encoded.serial)
        .collect();
    pending.set_phase(&offered, SettlementPhase::Pending);
}

/// Drops the records whose keys were found, and marks the others for insertion.
fn apply_search(
    cx: &mut Context,
    pending: &mut PendingRecords,
    serials: &[Serial],
    found: &HashSet<RequestKey>,
) {
    let is_found = |record: &PendingRecord| found.contains(&record.encoded.decode().key);
    let (billed, absent): (Vec<Serial>, Vec<Serial>) = serials
        .iter()
        .partition(|serial| pending.get(**serial).is_some_and(is_found));
    cx.shared.counters.billed_before += billed.len() as u64;
    pending.settle(cx, &billed);
    pending.set_phase(&absent, SettlementPhase::NotBilled);
}

/// The time at which the records without a home are written, at the same rate as batches.
fn due(cx: &Context, peers: &Peers, pending: &PendingRecords, urgent: bool) -> Duration {
    let mut waiting = pending.single(NO_HOME);
    let Some(first) = waiting.next() else {
        return Duration::MAX;
    };
    if urgent || cx.shared.draining || waiting.nth(MAX_INSERTS).is_some() {
        return cx.now;
    }
    first.added_at + cx.shared.tuning.interval(peers.host_count())
}

/// Offers the records of a live home to it for adoption.
fn offer(cx: &mut Context, pending: &mut PendingRecords, home: Incarnation) {
    let records: Vec<Record> = pending
        .single(home)
        .filter(|record| record.phase == SettlementPhase::Pending)
        .take(MAX_INSERTS)
        .map(|it| it.encoded.decode())
        .collect();
    if records.is_empty() {
        return;
    }
    let serials: Vec<Serial> = records.iter().map(|record| record.serial).collect();
    pending.set_phase(&serials, SettlementPhase::Offered);
    cx.send(home, Message::Adopt { records });
    cx.arm(cx.shared.tuning.retry_interval, Timer::Settle(home));
}
