//! Limits the memory of requests, responses and events that are held as a whole.
//!
//! A request body is held until its attempts have ended, a response until its caller has read it,
//! and an event of a stream until it is complete. With many slow callers, many large bodies, or
//! endpoints that send bytes without an event, these would take more memory than the process has,
//! and it would be killed with all its requests.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use async_std::task::sleep;

/// Number of copies of a body that exist at the same time: as received, and encoded for the peer
/// that it is sent to.
const COPIES: usize = 2;
/// Interval at which a response that waits for memory checks for it.
const WAIT_INTERVAL: Duration = Duration::from_millis(10);

/// The bytes that may be held, and those that are.
#[derive(Debug)]
pub(crate) struct Buffers {
    limit: usize,
    used: Cell<usize>,
}

/// The bytes that one body takes, until it is dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    buffers: Rc<Buffers>,
    bytes: usize,
}

impl Buffers {
    pub(crate) fn new(limit: usize) -> Rc<Self> {
        Rc::new(Self {
            limit,
            used: Cell::new(0),
        })
    }

    /// Returns a reservation for a body that is still empty.
    pub(crate) fn reserve(self: &Rc<Self>) -> Reservation {
        Reservation {
            buffers: Rc::clone(self),
            bytes: 0,
        }
    }
}

impl Reservation {
    /// Reserves memory for a body of this length. Returns whether there is room; a single body
    /// always has it, so that one that exceeds the limit isn't refused forever.
    pub(crate) fn try_hold(&mut self, body_len: usize) -> bool {
        let wanted = body_len.saturating_mul(COPIES);
        let of_others = self.buffers.used.get() - self.bytes;
        if wanted <= self.bytes {
            return true;
        }
        if of_others > 0 && of_others.saturating_add(wanted) > self.buffers.limit {
            return false;
        }
        self.buffers.used.set(of_others + wanted);
        self.bytes = wanted;
        true
    }

    /// Reserves memory for a body of this length, and frees what was reserved beyond it. Returns
    /// whether there is room.
    pub(crate) fn try_resize(&mut self, body_len: usize) -> bool {
        let wanted = body_len.saturating_mul(COPIES);
        if wanted < self.bytes {
            let used = self.buffers.used.get();
            self.buffers.used.set(used - (self.bytes - wanted));
            self.bytes = wanted;
        }
        self.try_hold(body_len)
    }

    /// Waits until there is room for a body of this length.
    pub(crate) async fn hold(&mut self, body_len: usize) {
        while !self.try_hold(body_len) {
            sleep(WAIT_INTERVAL).await;
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let used = self.buffers.used.get();
        self.buffers.used.set(used - self.bytes);
    }
}
