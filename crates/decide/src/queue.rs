//! The queue of requests that wait for a pool of endpoints.

use std::collections::VecDeque;

use crate::key;
use crate::number::count;
use crate::policy::Priority;
use crate::request::Key;

/// The queue for the endpoints of one version or service: strict priorities, and
/// start-time fair queueing between the customers of the same priority.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    levels: [PriorityLevel; Priority::ALL.len()],
}

/// A queued request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Entry {
    pub(crate) request: Key,
    pub(crate) customer: key::Customer,
    pub(crate) priority: Priority,
}

#[derive(Clone, Debug, Default)]
struct PriorityLevel {
    backlogs: Vec<Backlog>,
    /// The virtual time: the start tag of the request served last.
    virtual_time: f64,
    len: usize,
}

#[derive(Clone, Debug, Default)]
struct Backlog {
    requests: VecDeque<Key>,
    weight: f64,
    /// The start tag of this customer's next request.
    start_tag: f64,
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.levels.iter().map(|it| it.len).sum()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.levels.iter().all(|it| it.len == 0)
    }

    /// Returns whether a request of this or a higher priority is queued.
    pub(crate) fn has_at_or_above(&self, priority: Priority) -> bool {
        let levels = &self.levels[..=priority.index()];
        levels.iter().any(|it| it.len > 0)
    }

    /// Returns the number of queued requests of the customer at this priority.
    pub(crate) fn queued_for(&self, customer: key::Customer, priority: Priority) -> usize {
        let level = &self.levels[priority.index()];
        let backlog = level.backlogs.get(customer.index());
        backlog.map_or(0, |it| it.requests.len())
    }

    /// Estimates how many requests are served before a new one of this customer.
    pub(crate) fn estimate_ahead(
        &self,
        customer: key::Customer,
        priority: Priority,
        weight: f64,
    ) -> f64 {
        let before = &self.levels[..priority.index()];
        let before: usize = before.iter().map(|it| it.len).sum();
        let level = &self.levels[priority.index()];
        let own = level.backlogs.get(customer.index());
        let own = own.map_or(0, |it| it.requests.len());
        let others = level.backlogs.iter().enumerate();
        let others = others.filter(|(at, it)| *at != customer.index() && !it.requests.is_empty());
        // A customer with an empty backlog waits for at most one request of each other
        // customer.
        let turns = count(own) / weight;
        let others = others.map(|(_, it)| count(it.requests.len()).min(1.0 + turns * it.weight));
        count(before + own) + others.sum::<f64>()
    }

    pub(crate) fn push(&mut self, entry: Entry, weight: f64) {
        let level = &mut self.levels[entry.priority.index()];
        let virtual_time = level.virtual_time;
        let backlog = level.backlog(entry.customer, weight);
        if backlog.requests.is_empty() {
            backlog.start_tag = backlog.start_tag.max(virtual_time);
        }
        backlog.requests.push_back(entry.request);
        level.len += 1;
    }

    /// Inserts a request at the front of its customer's backlog.
    pub(crate) fn push_front(&mut self, entry: Entry, weight: f64) {
        let level = &mut self.levels[entry.priority.index()];
        let backlog = level.backlog(entry.customer, weight);
        backlog.requests.push_front(entry.request);
        level.len += 1;
    }

    /// Returns the request to serve next.
    pub(crate) fn first(&self) -> Option<Key> {
        let level = self.levels.iter().find(|it| it.len > 0)?;
        let backlog = &level.backlogs[level.next()?];
        backlog.requests.front().copied()
    }

    /// Removes and returns the request that [`Self::first`] returns.
    pub(crate) fn pop(&mut self) -> Option<Key> {
        let level = self.levels.iter_mut().find(|it| it.len > 0)?;
        let next = level.next()?;
        level.len -= 1;
        level.backlogs[next].requests.pop_front()
    }

    /// Adds `work`, the expected seconds of a dispatched request, to the customer's
    /// use, whether the request was queued or not, so that recent use counts against
    /// the customer once the pool is full.
    pub(crate) fn charge(
        &mut self,
        customer: key::Customer,
        priority: Priority,
        work: f64,
        weight: f64,
    ) {
        let level = &mut self.levels[priority.index()];
        let virtual_time = level.virtual_time;
        let backlog = level.backlog(customer, weight);
        let start = backlog.start_tag.max(virtual_time);
        backlog.start_tag = start + work / weight;
        level.virtual_time = start;
    }

    pub(crate) fn remove(&mut self, entry: Entry) {
        let level = &mut self.levels[entry.priority.index()];
        let Some(backlog) = level.backlogs.get_mut(entry.customer.index()) else {
            return;
        };
        let before = backlog.requests.len();
        backlog.requests.retain(|it| *it != entry.request);
        level.len -= before - backlog.requests.len();
    }

    /// Iterates over all queued requests, in no particular order between customers.
    pub(crate) fn iter(&self) -> impl Iterator<Item = Key> {
        let backlogs = self.levels.iter().flat_map(|it| &it.backlogs);
        backlogs.flat_map(|it| it.requests.iter().copied())
    }
}

impl PriorityLevel {
    fn backlog(&mut self, customer: key::Customer, weight: f64) -> &mut Backlog {
        if self.backlogs.len() <= customer.index() {
            self.backlogs
                .resize_with(customer.index() + 1, Backlog::default);
        }
        let it = &mut self.backlogs[customer.index()];
        it.weight = weight;
        it
    }

    fn next(&self) -> Option<usize> {
        let waiting = self.backlogs.iter().enumerate();
        let waiting = waiting.filter(|(_, it)| !it.requests.is_empty());
        waiting
            .min_by(|a, b| a.1.start_tag.total_cmp(&b.1.start_tag))
            .map(|(at, _)| at)
    }
}
