//! An in-memory stand-in for the platform's table, limited to the configuration.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use kernel::{HostName, Revision};

use crate::{Event, Polled};

/// A table that stores the newest revision of the configuration.
#[derive(Debug, Default)]
pub struct Table {
    /// The newest revision.
    pub revision: Revision,
    /// The configuration document at `revision`.
    pub json: Arc<[u8]>,
    /// If set, all reads fail.
    pub is_unavailable: bool,
    /// Hosts whose reads fail.
    pub cut_off: BTreeSet<HostName>,
    /// The number of reads, failed ones included.
    pub reads: u64,
}

impl Table {
    /// Commits a new revision with the same document.
    pub fn commit(&mut self) -> Revision {
        self.revision = self.revision.next();
        self.revision
    }

    pub(crate) fn read(&mut self, reader: &HostName, asked: Duration) -> Event {
        self.reads += 1;
        if self.is_unavailable || self.cut_off.contains(reader) {
            return Event::PollFailed;
        }
        Event::Polled(Polled {
            asked,
            revision: self.revision,
            json: (self.revision > Revision(0)).then(|| self.json.clone()),
        })
    }
}
