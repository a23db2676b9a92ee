//! The hosts that hold each record, derived from the messages between them.

use std::collections::{BTreeMap, BTreeSet};

use kernel::Incarnation;
use ledger::{Message, Serial};

/// The records that each host holds, by owner and serial.
#[derive(Debug, Default)]
pub(crate) struct Holders {
    /// The key of each record, by owner and serial.
    keys: BTreeMap<(Incarnation, Serial), String>,
    /// The serials in each unconfirmed copy message, by owner, receiver and message number.
    copies: BTreeMap<(Incarnation, Incarnation, u64), Vec<Serial>>,
    /// Holder, owner and serial.
    held: BTreeSet<(Incarnation, Incarnation, Serial)>,
}

impl Holders {
    /// Updates the holders by a message that is being delivered.
    pub(crate) fn observe(&mut self, from: Incarnation, to: Incarnation, message: &Message) {
        match message {
            Message::Copy { copy_id, records } => {
                for record in records {
                    let key = record.key.to_string();
                    self.keys.insert((from, record.serial), key);
                    self.held.insert((from, from, record.serial));
                }
                let serials = records.iter().map(|record| record.serial).collect();
                self.copies.insert((from, to, *copy_id), serials);
            }
            Message::Copied { copy_id } => {
                let serials = self.copies.remove(&(to, from, *copy_id));
                for serial in serials.unwrap_or_default() {
                    self.held.insert((from, to, serial));
                }
            }
            Message::Release { below, serials } => self.held.retain(|(holder, owner, serial)| {
                let released = serial < below || serials.contains(serial);
                !(*holder == to && *owner == from && released)
            }),
            Message::Adopted { serials } => self.held.retain(|(holder, owner, serial)| {
                !(*holder == to && *owner == to && serials.contains(serial))
            }),
            Message::CopyRefused { .. } | Message::QueryCopies { .. } | Message::Adopt { .. } => {}
        }
    }

    /// Returns the hosts that hold a record whose key `is` accepts.
    pub(crate) fn of(&self, is: impl Fn(&str) -> bool) -> BTreeSet<Incarnation> {
        self.held
            .iter()
            .filter(|(_, owner, serial)| {
                self.keys.get(&(*owner, *serial)).is_some_and(|key| is(key))
            })
            .map(|(holder, _, _)| *holder)
            .collect()
    }
}
