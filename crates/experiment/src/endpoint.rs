use std::collections::{BTreeMap, VecDeque};

use crate::{
    attempt::AttemptKey,
    workload::{Pool, Priority},
};

/// The number of sessions whose prompt a replica keeps.
const PREFIXES: usize = 64;

/// The fake of a model replica or a plain service's replica.
#[derive(Debug)]
pub(crate) struct Endpoint {
    slots: usize,
    /// Rises with each replacement.
    pub(crate) incarnation: u64,
    pub(crate) up: bool,
    room: usize,
    running: Vec<AttemptKey>,
    waiting: BTreeMap<(Priority, u64), AttemptKey>,
    queued: u64,
    prefixes: VecDeque<usize>,
}

/// What an endpoint does with a new attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    Runs,
    Waits,
    /// Nothing has run.
    Refused,
}

/// What an endpoint says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Load {
    pub(crate) running: usize,
    pub(crate) waiting: usize,
}

impl Endpoint {
    pub(crate) fn new(it: &Pool) -> Self {
        Self {
            slots: it.slots,
            incarnation: 1,
            up: true,
            room: it.waiting,
            running: Vec::new(),
            waiting: BTreeMap::new(),
            queued: 0,
            prefixes: VecDeque::new(),
        }
    }

    /// Takes an attempt into a slot or the queue.
    pub(crate) fn admit(&mut self, attempt: AttemptKey, priority: Priority) -> Admission {
        if !self.up {
            return Admission::Refused;
        }
        if self.running.len() < self.slots {
            self.running.push(attempt);
            return Admission::Runs;
        }
        if self.waiting.len() >= self.room {
            return Admission::Refused;
        }
        self.queued += 1;
        self.waiting.insert((priority, self.queued), attempt);
        Admission::Waits
    }

    /// Forgets an attempt that ended or was cancelled and names the one that takes its slot.
    pub(crate) fn release(&mut self, attempt: AttemptKey) -> Option<AttemptKey> {
        self.waiting.retain(|_, it| *it != attempt);
        let place = self.running.iter().position(|it| *it == attempt)?;
        self.running.swap_remove(place);
        let (_, next) = self.waiting.pop_first()?;
        self.running.push(next);
        Some(next)
    }

    /// Loses everything; returns the attempts that are cut.
    pub(crate) fn stop(&mut self) -> Vec<AttemptKey> {
        self.up = false;
        self.prefixes.clear();
        let mut cut = std::mem::take(&mut self.running);
        cut.extend(std::mem::take(&mut self.waiting).into_values());
        cut
    }

    pub(crate) fn start(&mut self) {
        self.up = true;
        self.incarnation += 1;
    }

    pub(crate) fn load(&self) -> Load {
        Load {
            running: self.running.len(),
            waiting: self.waiting.len(),
        }
    }

    /// Whether the prompt of a session is cached here; it is from now on.
    pub(crate) fn cached(&mut self, session: usize) -> bool {
        let place = self.prefixes.iter().position(|it| *it == session);
        if let Some(place) = place {
            self.prefixes.remove(place);
        }
        self.prefixes.push_back(session);
        if self.prefixes.len() > PREFIXES {
            self.prefixes.pop_front();
        }
        place.is_some()
    }
}
