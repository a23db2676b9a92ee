use std::collections::{BTreeMap, VecDeque};

use crate::{
    attempt::AttemptKey,
    workload::{Pool, Priority},
};

/// Maximum sessions whose prompt prefix a replica caches.
const MAX_CACHED_PREFIXES: usize = 64;

/// A simulated replica of a model or plain service.
#[derive(Debug)]
pub(crate) struct Endpoint {
    slots: usize,
    /// Increases with each restart.
    pub(crate) incarnation: u64,
    pub(crate) up: bool,
    max_waiting: usize,
    running: Vec<AttemptKey>,
    waiting: BTreeMap<(Priority, u64), AttemptKey>,
    last_queue_number: u64,
    prefixes: VecDeque<usize>,
}

/// The result of offering an attempt to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    Runs,
    Waits,
    /// The attempt was refused and didn't run.
    Refused,
}

/// A load report of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Load {
    pub(crate) running: usize,
    pub(crate) waiting: usize,
}

impl Endpoint {
    pub(crate) fn new(pool: &Pool) -> Self {
        Self {
            slots: pool.slots,
            incarnation: 1,
            up: true,
            max_waiting: pool.max_waiting,
            running: Vec::new(),
            waiting: BTreeMap::new(),
            last_queue_number: 0,
            prefixes: VecDeque::new(),
        }
    }

    /// Adds an attempt to a slot or the queue, or refuses it.
    pub(crate) fn admit(&mut self, attempt: AttemptKey, priority: Priority) -> Admission {
        if !self.up {
            return Admission::Refused;
        }
        if self.running.len() < self.slots {
            self.running.push(attempt);
            return Admission::Runs;
        }
        if self.waiting.len() >= self.max_waiting {
            return Admission::Refused;
        }
        self.last_queue_number += 1;
        self.waiting
            .insert((priority, self.last_queue_number), attempt);
        Admission::Waits
    }

    /// Removes an attempt that ended or was cancelled. Returns the waiting attempt that takes its
    /// slot, if any.
    pub(crate) fn release(&mut self, attempt: AttemptKey) -> Option<AttemptKey> {
        self.waiting.retain(|_, it| *it != attempt);
        let position = self.running.iter().position(|it| *it == attempt)?;
        self.running.swap_remove(position);
        let (_, next) = self.waiting.pop_first()?;
        self.running.push(next);
        Some(next)
    }

    /// Takes the endpoint down. Returns its running and waiting attempts, which are aborted.
    pub(crate) fn stop(&mut self) -> Vec<AttemptKey> {
        self.up = false;
        self.prefixes.clear();
        let mut aborted = std::mem::take(&mut self.running);
        aborted.extend(std::mem::take(&mut self.waiting).into_values());
        aborted
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

    /// Caches the prompt prefix of a session. Returns whether it was cached before.
    pub(crate) fn cache_prefix(&mut self, session: usize) -> bool {
        let position = self.prefixes.iter().position(|it| *it == session);
        if let Some(position) = position {
            self.prefixes.remove(position);
        }
        self.prefixes.push_back(session);
        if self.prefixes.len() > MAX_CACHED_PREFIXES {
            self.prefixes.pop_front();
        }
        position.is_some()
    }
}
