//! Event streams, cut into whole events.

use memchr::memmem;

/// Cuts an event stream into whole events, so that the beginning of one that
/// its sender never finished is not passed on.
#[derive(Clone, Debug, Default)]
pub struct Events {
    pending: Vec<u8>,
    start: usize,
}

/// A whole event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event<'a> {
    /// Its bytes, the blank line at its end included.
    pub bytes: &'a [u8],
    /// Its number, if it has one.
    pub id: Option<u64>,
}

impl Events {
    /// The buffer to which the stream's next bytes are appended.
    pub fn input(&mut self) -> &mut Vec<u8> {
        if self.start > 0 {
            self.pending.drain(..self.start);
            self.start = 0;
        }
        &mut self.pending
    }

    /// Takes the next whole event, if there is one.
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
            id: id(bytes),
        })
    }

    /// Whether bytes of an unfinished event are left.
    #[must_use]
    pub fn has_rest(&self) -> bool {
        self.start < self.pending.len()
    }
}

fn id(event: &[u8]) -> Option<u64> {
    let line = event
        .split(|&it| it == b'\n')
        .find_map(|it| it.strip_prefix(b"id:"))?;
    str::from_utf8(line.trim_ascii()).ok()?.parse().ok()
}
