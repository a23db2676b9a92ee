//! The platform's table as far as the configuration goes.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use kernel::{HostName, Revision};

use crate::{Event, Polled};

/// A table that holds the configuration's head.
#[derive(Debug, Default)]
pub struct Table {
    /// The newest revision.
    pub revision: Revision,
    /// Its document.
    pub json: Arc<[u8]>,
    /// Whether all reads fail.
    pub is_out: bool,
    /// Hosts that can't reach it.
    pub cut: BTreeSet<HostName>,
    /// How often it was read.
    pub reads: u64,
}

impl Table {
    /// Commits a new document of the same size.
    pub fn commit(&mut self) -> Revision {
        self.revision = self.revision.next();
        self.revision
    }

    pub(crate) fn read(&mut self, by: &HostName, asked: Duration) -> Event {
        self.reads += 1;
        if self.is_out || self.cut.contains(by) {
            return Event::PollFailed;
        }
        Event::Polled(Polled {
            asked,
            revision: self.revision,
            json: (self.revision > Revision(0)).then(|| self.json.clone()),
        })
    }
}
