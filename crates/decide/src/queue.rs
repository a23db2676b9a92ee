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
    lanes: [Lane; Priority::ALL.len()],
}

/// A queued request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Entry {
    pub(crate) request: Key,
    pub(crate) customer: key::Customer,
    pub(crate) priority: Priority,
}

#[derive(Clone, Debug, Default)]
struct Lane {
    backlogs: Vec<Backlog>,
    /// The virtual time: the start tag of the request served last.
    clock: f64,
    len: usize,
}

#[derive(Clone, Debug, Default)]
struct Backlog {
    requests: VecDeque<Key>,
    weight: f64,
    /// The start tag of this customer's next request.
    tag: f64,
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.lanes.iter().map(|it| it.len).sum()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.lanes.iter().all(|it| it.len == 0)
    }

    /// Returns whether a request of this or a higher priority is queued.
    pub(crate) fn is_ahead(&self, priority: Priority) -> bool {
        let lanes = &self.lanes[..=priority.index()];
        lanes.iter().any(|it| it.len > 0)
    }

    /// Returns the number of queued requests of the customer at this priority.
    pub(crate) fn own(&self, customer: key::Customer, priority: Priority) -> usize {
        let lane = &self.lanes[priority.index()];
        let backlog = lane.backlogs.get(customer.index());
        backlog.map_or(0, |it| it.requests.len())
    }

    /// Estimates how many requests are served before a new one of this customer.
    pub(crate) fn ahead(&self, customer: key::Customer, priority: Priority, weight: f64) -> f64 {
        let before = &self.lanes[..priority.index()];
        let before: usize = before.iter().map(|it| it.len).sum();
        let lane = &self.lanes[priority.index()];
        let own = lane.backlogs.get(customer.index());
        let own = own.map_or(0, |it| it.requests.len());
        let others = lane.backlogs.iter().enumerate();
        let others = others.filter(|(at, it)| *at != customer.index() && !it.requests.is_empty());
        // A customer with an empty backlog is behind at most one request of each other.
        let turns = count(own) / weight;
        let others = others.map(|(_, it)| count(it.requests.len()).min(1.0 + turns * it.weight));
        count(before + own) + others.sum::<f64>()
    }

    pub(crate) fn push(&mut self, entry: Entry, weight: f64) {
        let lane = &mut self.lanes[entry.priority.index()];
        let clock = lane.clock;
        let backlog = lane.backlog(entry.customer, weight);
        if backlog.requests.is_empty() {
            backlog.tag = backlog.tag.max(clock);
        }
        backlog.requests.push_back(entry.request);
        lane.len += 1;
    }

    /// Returns a request to the front of its customer's backlog.
    pub(crate) fn push_front(&mut self, entry: Entry, weight: f64) {
        let lane = &mut self.lanes[entry.priority.index()];
        let backlog = lane.backlog(entry.customer, weight);
        backlog.requests.push_front(entry.request);
        lane.len += 1;
    }

    /// Returns the request to serve next.
    pub(crate) fn first(&self) -> Option<Key> {
        let lane = self.lanes.iter().find(|it| it.len > 0)?;
        let backlog = &lane.backlogs[lane.next()?];
        backlog.requests.front().copied()
    }

    /// Removes and returns the request that [`Self::first`] returns.
    pub(crate) fn pop(&mut self) -> Option<Key> {
        let lane = self.lanes.iter_mut().find(|it| it.len > 0)?;
        let next = lane.next()?;
        lane.len -= 1;
        lane.backlogs[next].requests.pop_front()
    }

    /// Accounts for work that was sent, whether it was queued or not, so that
    /// recent use counts against a customer once the pool is full.
    pub(crate) fn charge(
        &mut self,
        customer: key::Customer,
        priority: Priority,
        work: f64,
        weight: f64,
    ) {
        let lane = &mut self.lanes[priority.index()];
        let clock = lane.clock;
        let backlog = lane.backlog(customer, weight);
        let start = backlog.tag.max(clock);
        backlog.tag = start + work / weight;
        lane.clock = start;
    }

    pub(crate) fn remove(&mut self, entry: Entry) {
        let lane = &mut self.lanes[entry.priority.index()];
        let Some(backlog) = lane.backlogs.get_mut(entry.customer.index()) else {
            return;
        };
        let before = backlog.requests.len();
        backlog.requests.retain(|it| *it != entry.request);
        lane.len -= before - backlog.requests.len();
    }

    /// Iterates over all queued requests, in no particular order between customers.
    pub(crate) fn iter(&self) -> impl Iterator<Item = Key> {
        let backlogs = self.lanes.iter().flat_map(|it| &it.backlogs);
        backlogs.flat_map(|it| it.requests.iter().copied())
    }
}

impl Lane {
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
            .min_by(|a, b| a.1.tag.total_cmp(&b.1.tag))
            .map(|(at, _)| at)
    }
}
