//! The records of this host that aren't in the table yet, and their copies.

mod copies;
mod held;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use kernel::{Incarnation, RequestKey};

use crate::cx::Cx;
use crate::timers::Timer;
use crate::{Action, Message, Record, Safety, Serial};

use copies::Copying;
pub(crate) use held::{Held, Lane, Phase, Waiting};

/// The records of this host that aren't in the table yet, and their copies.
#[derive(Debug)]
pub(crate) struct Holdings {
    next: Serial,
    held: BTreeMap<Serial, Held>,
    batch: BTreeSet<Serial>,
    single: BTreeMap<Incarnation, BTreeSet<Serial>>,
    uncopied: VecDeque<Serial>,
    copies: HashMap<u64, Copying>,
    next_copy: u64,
    outcome_bytes: usize,
}

impl Default for Holdings {
    fn default() -> Self {
        Self {
            next: Serial(1),
            held: BTreeMap::new(),
            batch: BTreeSet::new(),
            single: BTreeMap::new(),
            uncopied: VecDeque::new(),
            copies: HashMap::new(),
            next_copy: 0,
            outcome_bytes: 0,
        }
    }
}

impl Holdings {
    /// The serial of the next record.
    pub(crate) fn floor(&self) -> Serial {
        self.next
    }

    pub(crate) fn len(&self) -> usize {
        self.held.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    pub(crate) fn get(&self, serial: Serial) -> Option<&Held> {
        self.held.get(&serial)
    }

    /// Adds a record under a new serial.
    pub(crate) fn hold(
        &mut self,
        cx: &mut Cx,
        mut record: Record,
        lane: Lane,
        waiting: Vec<Waiting>,
    ) -> Serial {
        let serial = self.next;
        self.next.0 += 1;
        cx.shared.counters.records += 1;
        record.serial = serial;
        if self.outcome_bytes + record.outcome_bytes() > cx.shared.tuning.outcome_total {
            record.drop_outcome();
        }
        self.outcome_bytes += record.outcome_bytes();
        if !waiting.is_empty() {
            cx.arm(cx.shared.tuning.release_bound, Timer::Release(serial));
        }
        if lane == Lane::Batch {
            record.floor = serial;
            record.maker = cx.shared.me;
        }
        self.held
            .insert(serial, Held::new(&record, lane, waiting, cx.now));
        self.enter(serial, lane);
        self.uncopied.push_back(serial);
        serial
    }

    fn enter(&mut self, serial: Serial, lane: Lane) {
        match lane {
            Lane::Batch => self.batch.insert(serial),
            Lane::Single(home) => self.single.entry(home).or_default().insert(serial),
        };
    }

    fn leave(&mut self, serial: Serial, lane: Lane) {
        match lane {
            Lane::Batch => {
                self.batch.remove(&serial);
            }
            Lane::Single(home) => {
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
    pub(crate) fn single(&self, home: Incarnation) -> impl Iterator<Item = &Held> {
        self.single
            .get(&home)
            .into_iter()
            .flatten()
            .filter_map(|serial| self.held.get(serial))
    }

    /// Sets the phase of records that are settled one by one.
    pub(crate) fn set_phase(&mut self, serials: &[Serial], phase: Phase) {
        for serial in serials {
            if let Some(held) = self.held.get_mut(serial) {
                held.phase = phase;
            }
        }
    }

    /// Removes the records inherited from `home` and returns them under their original serials.
    pub(crate) fn give_back(&mut self, cx: &mut Cx, home: Incarnation) -> Vec<Record> {
        let inherited = self.single(home).filter(|it| it.phase == Phase::Inherited);
        let records: Vec<Record> = inherited.map(|held| held.record.unpack()).collect();
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
            .find(|held| held.record.unpack().key == *key)
            .map(|held| held.record.serial)
    }

    /// Moves all records from batches to settlement one by one, because this incarnation may write
    /// no more batches.
    pub(crate) fn stop_batches(&mut self) {
        for serial in std::mem::take(&mut self.batch) {
            let Some(held) = self.held.get_mut(&serial) else {
                continue;
            };
            let lane = Lane::Single(held.record.home);
            held.lane = lane;
            held.phase = Phase::New;
            self.enter(serial, lane);
        }
    }

    /// Releases a response with a single copy after the release timeout, and counts it. A host that
    /// reaches neither another host nor the table must still respond.
    pub(crate) fn release_late(&mut self, cx: &mut Cx, serial: Serial) {
        let Some(held) = self.held.get_mut(&serial) else {
            return;
        };
        let (adopters, answers) = std::mem::take(&mut held.waiting)
            .into_iter()
            .partition(|it| matches!(it, Waiting::Adopter(..)));
        held.waiting = answers;
        if !held.waiting.is_empty() {
            cx.shared.counters.single_copy += 1;
            release(cx, held, Safety::SingleCopy);
        }
        // The host that ran the work waits on: no caller waits for its record, and it keeps the
        // record until this host has a second copy.
        held.waiting = adopters;
    }

    /// Adds `waiting` to those that wait for the record, or returns it as an error if the record is
    /// already safe.
    pub(crate) fn wait(&mut self, serial: Serial, waiting: Waiting) -> Result<(), Waiting> {
        match self.held.get_mut(&serial) {
            Some(held) if !held.waiting.is_empty() => {
                held.waiting.push(waiting);
                Ok(())
            }
            _ => Err(waiting),
        }
    }

    /// Removes records that are in the table, and releases their copies.
    pub(crate) fn settle(&mut self, cx: &mut Cx, serials: &[Serial]) {
        let mut copies: BTreeMap<Incarnation, Vec<Serial>> = BTreeMap::new();
        for &serial in serials {
            let Some(mut held) = self.held.remove(&serial) else {
                continue;
            };
            cx.shared.timers.disarm(Timer::Release(serial));
            self.leave(serial, held.lane);
            self.outcome_bytes -= held.record.outcome_bytes();
            release(cx, &mut held, Safety::Table);
            for holder in held.receivers() {
                copies.entry(holder).or_default().push(serial);
            }
        }
        for (holder, serials) in copies {
            self.send_release(cx, holder, serials);
        }
    }

    fn send_release(&self, cx: &mut Cx, to: Incarnation, mut serials: Vec<Serial>) {
        let below = self.lowest();
        serials.retain(|serial| *serial >= below);
        cx.send(to, Message::Release { below, serials });
    }

    fn lowest(&self) -> Serial {
        self.held.keys().next().copied().unwrap_or(self.next)
    }
}

/// Releases everything that waits for `held` to be safe.
fn release(cx: &mut Cx, held: &mut Held, safety: Safety) {
    for waiting in held.waiting.drain(..) {
        match waiting {
            Waiting::Answer(request) => cx.push(Action::Release { request, safety }),
            Waiting::Repeat(request, outcome) => {
                cx.shared.counters.replays += 1;
                cx.push(Action::Replay { request, outcome });
            }
            Waiting::Adopter(to, serial) => cx.send(
                to,
                Message::Adopted {
                    serials: vec![serial],
                },
            ),
        }
    }
}
