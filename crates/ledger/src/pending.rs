//! The records of this host that aren't in the table yet, and their copies.

mod copies;
mod record;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use kernel::{Incarnation, RequestKey};

use crate::context::Context;
use crate::timers::Timer;
use crate::{Action, Durability, Message, Record, Serial};

use copies::CopyInFlight;
pub(crate) use record::{PendingRecord, SettlementPhase, Waiter, WritePath};

/// The unwritten records by serial, the queues in which they are written, and their copies.
#[derive(Debug)]
pub(crate) struct PendingRecords {
    next: Serial,
    by_serial: BTreeMap<Serial, PendingRecord>,
    batch: BTreeSet<Serial>,
    single: BTreeMap<Incarnation, BTreeSet<Serial>>,
    uncopied: VecDeque<Serial>,
    copies: HashMap<u64, CopyInFlight>,
    next_copy_id: u64,
    outcome_bytes: usize,
}

impl Default for PendingRecords {
    fn default() -> Self {
        Self {
            next: Serial(1),
            by_serial: BTreeMap::new(),
            batch: BTreeSet::new(),
            single: BTreeMap::new(),
            uncopied: VecDeque::new(),
            copies: HashMap::new(),
            next_copy_id: 0,
            outcome_bytes: 0,
        }
    }
}

impl PendingRecords {
    /// The serial of the next record.
    pub(crate) fn floor(&self) -> Serial {
        self.next
    }

    pub(crate) fn len(&self) -> usize {
        self.by_serial.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.by_serial.is_empty()
    }

    pub(crate) fn get(&self, serial: Serial) -> Option<&PendingRecord> {
        self.by_serial.get(&serial)
    }

    /// Adds a record under a new serial.
    pub(crate) fn add(
        &mut self,
        cx: &mut Context,
        mut record: Record,
        write_path: WritePath,
        waiting: Vec<Waiter>,
    ) -> Serial {
        let serial = self.next;
        self.next.0 += 1;
        cx.shared.counters.records += 1;
        record.serial = serial;
        if self.outcome_bytes + record.outcome_bytes() > cx.shared.tuning.max_total_outcome_bytes {
            record.drop_outcome();
        }
        self.outcome_bytes += record.outcome_bytes();
        if !waiting.is_empty() {
            cx.arm(
                cx.shared.tuning.release_timeout,
                Timer::ReleaseTimeout(serial),
            );
        }
        if write_path == WritePath::Batch {
            record.floor = serial;
            record.maker = cx.shared.me;
        }
        self.by_serial.insert(
            serial,
            PendingRecord::new(&record, write_path, waiting, cx.now),
        );
        self.add_to_path(serial, write_path);
        self.uncopied.push_back(serial);
        serial
    }

    fn add_to_path(&mut self, serial: Serial, write_path: WritePath) {
        match write_path {
            WritePath::Batch => self.batch.insert(serial),
            WritePath::Single(home) => self.single.entry(home).or_default().insert(serial),
        };
    }

    fn remove_from_path(&mut self, serial: Serial, write_path: WritePath) {
        match write_path {
            WritePath::Batch => {
                self.batch.remove(&serial);
            }
            WritePath::Single(home) => {
                let Some(serials) = self.single.get_mut(&home) else {
                    return;
                };
                serials.remove(&serial);
                if serials.is_empty() {
                    self.single.remove(&home);
                }
            }
        }
    }

    /// The serials of the records to write in batches, in ascending order.
    pub(crate) fn batch(&self) -> impl ExactSizeIterator<Item = Serial> {
        self.batch.iter().copied()
    }

    /// The homes of the records that are settled one by one.
    pub(crate) fn homes(&self) -> Vec<Incarnation> {
        self.single.keys().copied().collect()
    }

    /// The records of `home` that are settled one by one, by ascending serial.
    pub(crate) fn single(&self, home: Incarnation) -> impl Iterator<Item = &PendingRecord> {
        self.single
            .get(&home)
            .into_iter()
            .flatten()
            .filter_map(|serial| self.by_serial.get(serial))
    }

    /// Sets the phase of records that are settled one by one.
    pub(crate) fn set_phase(&mut self, serials: &[Serial], phase: SettlementPhase) {
        for serial in serials {
            if let Some(record) = self.by_serial.get_mut(serial) {
                record.phase = phase;
            }
        }
    }

    /// Removes the records inherited from `home` and returns them under their original serials. The
    /// floor of a record that its home made for a batch is its serial there.
    pub(crate) fn take_inherited(&mut self, cx: &mut Context, home: Incarnation) -> Vec<Record> {
        let inherited = self
            .single(home)
            .filter(|it| it.phase == SettlementPhase::Inherited);
        let records: Vec<Record> = inherited.map(|it| it.encoded.decode()).collect();
        let serials: Vec<Serial> = records.iter().map(|record| record.serial).collect();
        self.settle(cx, &serials);
        let renumber = |mut record: Record| {
            record.serial = record.floor;
            record
        };
        records.into_iter().map(renumber).collect()
    }

    /// Returns the serial of the record of `key` that is settled by itself, if there is one.
    pub(crate) fn find_single(&self, key: &RequestKey) -> Option<Serial> {
        self.single(key.home)
            .find(|it| it.encoded.decode().key == *key)
            .map(|record| record.encoded.serial)
    }

    /// Moves all records from batches to settlement one by one, because this incarnation may write
    /// no more batches.
    pub(crate) fn stop_batches(&mut self) {
        for serial in std::mem::take(&mut self.batch) {
            let Some(record) = self.by_serial.get_mut(&serial) else {
                continue;
            };
            let write_path = WritePath::Single(record.encoded.home);
            record.write_path = write_path;
            record.phase = SettlementPhase::Pending;
            self.add_to_path(serial, write_path);
        }
    }

    /// Releases a response with a single copy after the release timeout, and counts it. A host that
    /// reaches neither another host nor the table must still respond.
    pub(crate) fn release_on_timeout(&mut self, cx: &mut Context, serial: Serial) {
        let Some(record) = self.by_serial.get_mut(&serial) else {
            return;
        };
        let (offerers, callers) = std::mem::take(&mut record.waiting)
            .into_iter()
            .partition(|it| matches!(it, Waiter::Offerer(..)));
        record.waiting = callers;
        if !record.waiting.is_empty() {
            cx.shared.counters.single_copy += 1;
            release(cx, record, Durability::SingleCopy);
        }
        // The host that offers the record waits on: no caller waits for it, and that host keeps
        // the record until this host has a second copy.
        record.waiting = offerers;
    }

    /// Adds `waiting` to those that wait for the record, or returns it as an error if the record is
    /// gone or nothing waits for it any more.
    pub(crate) fn wait(&mut self, serial: Serial, waiting: Waiter) -> Result<(), Waiter> {
        match self.by_serial.get_mut(&serial) {
            Some(record) if !record.waiting.is_empty() => {
                record.waiting.push(waiting);
                Ok(())
            }
            _ => Err(waiting),
        }
    }

    /// Removes records that this host needn't keep any more, and releases their copies.
    pub(crate) fn settle(&mut self, cx: &mut Context, serials: &[Serial]) {
        let mut copies: BTreeMap<Incarnation, Vec<Serial>> = BTreeMap::new();
        for &serial in serials {
            let Some(mut record) = self.by_serial.remove(&serial) else {
                continue;
            };
            cx.shared.timers.disarm(Timer::ReleaseTimeout(serial));
            self.remove_from_path(serial, record.write_path);
            self.outcome_bytes -= record.encoded.outcome_bytes();
            release(cx, &mut record, Durability::Table);
            for holder in record.receivers() {
                copies.entry(holder).or_default().push(serial);
            }
        }
        for (holder, serials) in copies {
            self.send_release(cx, holder, serials);
        }
    }

    fn send_release(&self, cx: &mut Context, to: Incarnation, mut serials: Vec<Serial>) {
        let below = self.lowest();
        serials.retain(|serial| *serial >= below);
        cx.send(to, Message::Release { below, serials });
    }

    fn lowest(&self) -> Serial {
        self.by_serial.keys().next().copied().unwrap_or(self.next)
    }
}

/// Releases everything that waits for `record` to be safe.
fn release(cx: &mut Context, record: &mut PendingRecord, durability: Durability) {
    for waiting in record.waiting.drain(..) {
        match waiting {
            Waiter::Response(request) => cx.push(Action::Release {
                request,
                durability,
            }),
            Waiter::Retry(request, outcome) => {
                cx.shared.counters.replays += 1;
                cx.push(Action::Replay { request, outcome });
            }
            Waiter::Offerer(to, serial) => cx.send(
                to,
                Message::Adopted {
                    serials: vec![serial],
                },
            ),
        }
    }
}
