//! Settlement of records that no batch of this incarnation may contain.

use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

use kernel::{Incarnation, RequestKey};

use crate::cx::{Cx, Purpose};
use crate::holdings::{Held, Holdings, Phase};
use crate::peers::Peers;
use crate::rows::NO_HOME;
use crate::table::{Page, Transaction, Unavailable, Written};
use crate::timers::Timer;
use crate::{Message, Record, Serial, rows};

/// Number of batches that a search reads at a time.
const PAGE: usize = 32;
/// Maximum number of records that one transaction inserts.
const INSERTED: usize = 100;

/// Settles the records of other homes one by one.
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
    pub(crate) fn pump(
        &mut self,
        cx: &mut Cx,
        peers: &mut Peers,
        holdings: &mut Holdings,
        urgent: bool,
    ) {
        let homes = holdings.homes();
        if homes.is_empty() && self.homes.is_empty() {
            return;
        }
        self.homes
            .retain(|home, it| homes.contains(home) || !matches!(it.step, Step::Idle));
        for home in homes {
            self.drive(cx, peers, holdings, home, urgent);
        }
    }

    fn drive(
        &mut self,
        cx: &mut Cx,
        peers: &mut Peers,
        holdings: &mut Holdings,
        home: Incarnation,
        urgent: bool,
    ) {
        let it = self.homes.entry(home).or_default();
        if !matches!(it.step, Step::Idle) {
            return;
        }
        if cx.now < it.retry_at {
            cx.shared.timers.arm(it.retry_at, Timer::Settle(home));
            return;
        }
        if home == NO_HOME {
            let due = due(cx, peers, holdings, urgent);
            if due > cx.now {
                cx.shared.timers.arm(due, Timer::Settle(home));
            } else {
                it.insert(cx, holdings, home);
            }
        } else if cx.shared.is_closed(home) {
            if holdings
                .single(home)
                .any(|held| held.phase != Phase::Absent)
            {
                it.scan(cx, holdings, home);
            } else {
                it.insert(cx, holdings, home);
            }
        } else if cx.shared.may_adopt(peers, home) {
            offer(cx, holdings, home);
        } else {
            it.fence(cx, peers, home);
        }
    }

    /// Handles the result of writing a fence.
    pub(crate) fn fenced(&mut self, cx: &mut Cx, home: Incarnation, result: &Written) {
        let Some(it) = self.homes.get_mut(&home) else {
            return;
        };
        it.step = Step::Idle;
        match result {
            Written::Applied => cx.shared.counters.fences += 1,
            // Another host has already fenced the home.
            Written::Failed { .. } => {}
            Written::NotApplied | Written::Unknown => return it.wait(cx, home),
        }
        cx.shared.fenced.insert(home);
    }

    /// Handles a page of a home's batches.
    pub(crate) fn scanned(
        &mut self,
        cx: &mut Cx,
        holdings: &mut Holdings,
        home: Incarnation,
        result: Result<Page, Unavailable>,
    ) {
        let Some(it) = self.homes.get_mut(&home) else {
            return;
        };
        let Step::Scanning(scan) = &mut it.step else {
            return;
        };
        let Ok(page) = result else {
            it.step = Step::Idle;
            return it.wait(cx, home);
        };
        match scan.take(home, &page) {
            Ok(Some(last)) => cx.scan(Purpose::Scan(home), home, last, PAGE),
            Ok(None) => {
                let (serials, found) = (
                    std::mem::take(&mut scan.serials),
                    std::mem::take(&mut scan.found),
                );
                it.step = Step::Idle;
                sort_out(cx, holdings, &serials, &found);
            }
            // An unreadable row may contain any of the keys, so nothing is billed until an operator
            // has repaired it.
            Err(_) => {
                it.step = Step::Idle;
                it.wait(cx, home);
            }
        }
    }

    /// Handles the result of an insertion.
    pub(crate) fn inserted(
        &mut self,
        cx: &mut Cx,
        holdings: &mut Holdings,
        home: Incarnation,
        result: &Written,
    ) {
        let Some(it) = self.homes.get_mut(&home) else {
            return;
        };
        let Step::Inserting(serials) = std::mem::take(&mut it.step) else {
            return;
        };
        match result {
            Written::Applied => {
                cx.shared.counters.settled += serials.len() as u64;
                holdings.settle(cx, &serials);
            }
            // These keys are billed already, by another host or by a write of this one whose
            // response was lost. The others are inserted in the next try.
            Written::Failed { keys } => {
                let billed: Vec<Serial> = serials
                    .into_iter()
                    .filter(|serial| {
                        holdings.get(*serial).is_some_and(|held| {
                            keys.contains(&rows::single(&held.record.unpack().key))
                        })
                    })
                    .collect();
                cx.shared.counters.billed_before += billed.len() as u64;
                holdings.settle(cx, &billed);
            }
            Written::NotApplied | Written::Unknown => it.wait(cx, home),
        }
    }

    /// Handles the adoption of records by their home.
    pub(crate) fn adopted(
        cx: &mut Cx,
        holdings: &mut Holdings,
        from: Incarnation,
        serials: &[Serial],
    ) {
        let known: Vec<Serial> = serials
            .iter()
            .copied()
            .filter(|serial| {
                holdings
                    .get(*serial)
                    .is_some_and(|held| held.record.home == from)
            })
            .collect();
        holdings.settle(cx, &known);
    }
}

impl Settlement {
    fn fence(&mut self, cx: &mut Cx, peers: &mut Peers, home: Incarnation) {
        let due = if cx.shared.former.contains(&home) {
            cx.now
        } else {
            peers.gone_since(cx.now, home) + cx.shared.tuning.fence_after
        };
        if due > cx.now {
            cx.shared.timers.arm(due, Timer::Settle(home));
            return;
        }
        let key = rows::fence(home);
        let transaction = Transaction {
            conditions: vec![rows::absent(key.clone())],
            puts: vec![rows::put(key, &cx.shared.me)],
            deletes: Vec::new(),
        };
        self.step = Step::Fencing;
        cx.transact(Purpose::Fence(home), transaction);
    }

    fn scan(&mut self, cx: &mut Cx, holdings: &Holdings, home: Incarnation) {
        let unknown = || {
            holdings
                .single(home)
                .filter(|held| held.phase != Phase::Absent)
        };
        let serials = unknown().map(|held| held.record.serial).collect();
        let floor = unknown().map(|held| held.record.floor).min();
        self.step = Step::Scanning(Scan {
            serials,
            found: HashSet::new(),
        });
        let after = Serial(floor.unwrap_or_default().0.saturating_sub(1));
        cx.scan(Purpose::Scan(home), home, after, PAGE);
    }

    fn insert(&mut self, cx: &mut Cx, holdings: &Holdings, home: Incarnation) {
        let mut keys = HashSet::new();
        let records: Vec<Record> = holdings
            .single(home)
            .map(|held| held.record.unpack())
            .filter(|record| keys.insert(record.key.clone()))
            .take(INSERTED)
            .collect();
        let mut transaction = Transaction::default();
        for record in &records {
            let key = rows::single(&record.key);
            transaction.conditions.push(rows::absent(key.clone()));
            transaction.puts.push(rows::put(key, record));
            transaction.puts.extend(rows::outcome(record));
        }
        self.step = Step::Inserting(records.iter().map(|record| record.serial).collect());
        cx.transact(Purpose::Insert(home), transaction);
    }

    fn wait(&mut self, cx: &mut Cx, home: Incarnation) {
        self.retry_at = cx.retry_at();
        cx.shared.timers.arm(self.retry_at, Timer::Settle(home));
    }
}

impl Scan {
    /// Collects the keys of a page. Returns the serial after which the search continues, or `None`
    /// at its end.
    fn take(
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
pub(crate) fn offer_again(holdings: &mut Holdings, home: Incarnation) {
    let offered: Vec<Serial> = holdings
        .single(home)
        .filter(|held| held.phase == Phase::Offered)
        .map(|held| held.record.serial)
        .collect();
    holdings.set_phase(&offered, Phase::New);
}

/// Drops the records whose keys were found, and marks the others for insertion.
fn sort_out(cx: &mut Cx, holdings: &mut Holdings, serials: &[Serial], found: &HashSet<RequestKey>) {
    let is_found = |held: &Held| found.contains(&held.record.unpack().key);
    let (billed, absent): (Vec<Serial>, Vec<Serial>) = serials
        .iter()
        .partition(|serial| holdings.get(**serial).is_some_and(is_found));
    cx.shared.counters.billed_before += billed.len() as u64;
    holdings.settle(cx, &billed);
    holdings.set_phase(&absent, Phase::Absent);
}

/// The time at which the records without a home are written, at the same rate as batches.
fn due(cx: &Cx, peers: &Peers, holdings: &Holdings, urgent: bool) -> Duration {
    let mut waiting = holdings.single(NO_HOME);
    let Some(first) = waiting.next() else {
        return Duration::MAX;
    };
    if urgent || cx.shared.draining || waiting.nth(INSERTED).is_some() {
        return cx.now;
    }
    first.since + cx.shared.tuning.interval(peers.hosts())
}

/// Offers the records of a live home to it for adoption.
fn offer(cx: &mut Cx, holdings: &mut Holdings, home: Incarnation) {
    let records: Vec<Record> = holdings
        .single(home)
        .filter(|held| held.phase == Phase::New)
        .take(INSERTED)
        .map(|held| held.record.unpack())
        .collect();
    if records.is_empty() {
        return;
    }
    let serials: Vec<Serial> = records.iter().map(|record| record.serial).collect();
    holdings.set_phase(&serials, Phase::Offered);
    cx.send(home, Message::Adopt { records });
    cx.arm(cx.shared.tuning.retry_interval, Timer::Settle(home));
}
