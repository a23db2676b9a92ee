//! Splitting of event streams (`text/event-stream`) into events.

use memchr::memmem;

/// The capacity in bytes that the buffer keeps.
const KEPT_CAPACITY: usize = 64 * 1024;

/// Buffer that splits an event stream into complete events, so that an event whose sender
/// failed halfway is not passed on.
#[derive(Clone, Debug, Default)]
pub struct Events {
    pending: Vec<u8>,
    start: usize,
}

/// A complete event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event<'a> {
    /// The event as sent, including the blank line at its end.
    pub bytes: &'a [u8],
    /// The value of its first `id` field, if that parses as a `u64`.
    pub id: Option<u64>,
}

impl Events {
    /// Returns the buffer to which the caller appends the next bytes of the stream.
    pub fn input(&mut self) -> &mut Vec<u8> {
        if self.start > 0 {
            self.pending.drain(..self.start);
            self.start = 0;
            // Frees the memory of a long event.
            self.pending.shrink_to(KEPT_CAPACITY);
        }
        &mut self.pending
    }

    /// Returns the next event, or `None` if no complete event is buffered.
    pub fn take(&mut self) -> Option<Event<'_>> {
        let rest = &self.pending[self.start..];
        let end = [&b"\n\n"[..], b"\r\n\r\n"]
            .iter()
            .filter_map(|it| memmem::find(rest, it).map(|at| at + it.len()))
            .min()?;
        let range = self.start..self.start + end;
        self.start = range.end;
        let bytes = &self.pending[range];
        Some(Event {
            bytes,
            id: parse_id(bytes),
        })
    }

    /// Returns the number of buffered bytes that [`Events::take`] hasn't returned.
    #[must_use]
    pub fn unread_len(&self) -> usize {
        self.pending.len() - self.start
    }

    /// Returns whether bytes are buffered that [`Events::take`] hasn't returned.
    #[must_use]
    pub fn has_unread(&self) -> bool {
        self.start < self.pending.len()
    }
}

fn parse_id(event: &[u8]) -> Option<u64> {
    let line = event
        .split(|&it| it == b'\n')
        .find_map(|it| it.strip_prefix(b"id:"))?;
    str::from_utf8(line.trim_ascii()).ok()?.parse().ok()
}
