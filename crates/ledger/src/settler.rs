//! Brings records into the table that no batch of this incarnation may carry.

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

/// How many batches a search reads at a time.
const PAGE: usize = 32;
/// How many records are billed in one transaction when each has its own row.
const INSERTED: usize = 100;

/// Settles records of other homes one by one.
///
/// A home that is alive adopts its record. For one that is gone the steps are:
/// fence it, so that none of its batches can come any more; search its
/// batches for the keys; insert a row a key for those that weren't found. The
/// row must be absent, so any number of hosts may do this at the same time.
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
    /// Moves the records of every home on by a step, where one is possible.
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

    /// Takes the answer to a fence.
    pub(crate) fn fenced(&mut self, cx: &mut Cx, home: Incarnation, result: &Written) {
        let Some(it) = self.homes.get_mut(&home) else {
            return;
        };
        it.step = Step::Idle;
        match result {
            Written::Applied => cx.shared.counters.fences += 1,
            // Another host was first.
            Written::Failed { .. } => {}
            Written::NotApplied | Written::Unknown => return it.wait(cx, home),
        }
        cx.shared.fenced.insert(home);
    }

    /// Takes a page of a home's batches.
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
            // A row that can't be read may hold any of the keys: nothing is
            // billed until an operator has seen to it.
            Err(_) => {
                it.step = Step::Idle;
                it.wait(cx, home);
            }
        }
    }

    /// Takes the answer to an insertion.
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
            // These keys are billed, by another host or by this one in a write
            // whose answer was lost. The rest is sent again without them.
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

    /// A home has taken over these records.
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
    /// Notes the keys of a page; tells after which batch the search goes on.
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

/// A home's timer: what was offered and not taken is offered again.
pub(crate) fn offer_again(holdings: &mut Holdings, home: Incarnation) {
    let offered: Vec<Serial> = holdings
        .single(home)
        .filter(|held| held.phase == Phase::Offered)
        .map(|held| held.record.serial)
        .collect();
    holdings.set_phase(&offered, Phase::New);
}

/// Drops the records whose keys were found and lets the others be inserted.
fn sort_out(cx: &mut Cx, holdings: &mut Holdings, serials: &[Serial], found: &HashSet<RequestKey>) {
    let is_found = |held: &Held| found.contains(&held.record.unpack().key);
    let (billed, absent): (Vec<Serial>, Vec<Serial>) = serials
        .iter()
        .partition(|serial| holdings.get(**serial).is_some_and(is_found));
    cx.shared.counters.billed_before += billed.len() as u64;
    holdings.settle(cx, &billed);
    holdings.set_phase(&absent, Phase::Absent);
}

/// When the records without a home are written: at the pace of the batches.
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

/// Asks a home that is alive to adopt the records of its keys.
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
