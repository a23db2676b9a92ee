//! The attempts in flight.

use std::collections::HashMap;

use kernel::AttemptId;
use slotmap::SlotMap;

use crate::attempt::{Attempt, Key};

/// The attempts in flight, by key and by the id that the driver uses.
///
/// Ids are consecutive from 1; drivers may rely on that.
#[derive(Debug, Default)]
pub(crate) struct Attempts {
    by_key: SlotMap<Key, Attempt>,
    by_id: HashMap<AttemptId, Key>,
    last: u64,
}

impl Attempts {
    /// Allocates the id of the next attempt.
    pub(crate) fn next_id(&mut self) -> AttemptId {
        self.last += 1;
        AttemptId(self.last)
    }

    pub(crate) fn insert(&mut self, attempt: Attempt) -> Key {
        let key = self.by_key.insert(attempt);
        self.by_id.insert(attempt.id, key);
        key
    }

    pub(crate) fn remove(&mut self, key: Key) -> Option<Attempt> {
        let attempt = self.by_key.remove(key)?;
        self.by_id.remove(&attempt.id);
        Some(attempt)
    }

    pub(crate) fn get(&self, key: Key) -> Option<&Attempt> {
        self.by_key.get(key)
    }

    pub(crate) fn get_mut(&mut self, key: Key) -> Option<&mut Attempt> {
        self.by_key.get_mut(key)
    }

    /// Returns the key of the attempt with this id, or `None` if it has ended or was cancelled.
    pub(crate) fn find(&self, id: AttemptId) -> Option<Key> {
        self.by_id.get(&id).copied()
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Attempt> {
        self.by_key.values_mut()
    }
}
