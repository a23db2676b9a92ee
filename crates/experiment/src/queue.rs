use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

/// A priority queue of events by time. Events with the same time keep their insertion order.
#[derive(Debug)]
pub(crate) struct Queue<T> {
    heap: BinaryHeap<Reverse<Entry<T>>>,
    last_sequence: u64,
}

#[derive(Debug)]
struct Entry<T> {
    at: Duration,
    sequence: u64,
    event: T,
}

impl<T> Queue<T> {
    pub(crate) fn new() -> Self {
        Self {
            heap: BinaryHeap::new(),
            last_sequence: 0,
        }
    }

    pub(crate) fn push(&mut self, at: Duration, event: T) {
        self.last_sequence += 1;
        self.heap.push(Reverse(Entry {
            at,
            sequence: self.last_sequence,
            event,
        }));
    }

    pub(crate) fn pop(&mut self) -> Option<(Duration, T)> {
        self.heap.pop().map(|Reverse(it)| (it.at, it.event))
    }
}

impl<T> PartialEq for Entry<T> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl<T> Eq for Entry<T> {}

impl<T> PartialOrd for Entry<T> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Entry<T> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}
