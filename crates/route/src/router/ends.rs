//! What the router knows of endpoints that ended.

use std::net::SocketAddr;
use std::time::Duration;

use kernel::EndpointId;

use super::{Flight, Router};
use crate::endpoint::Key;
use crate::evacuation::Access;
use crate::quarantine::{Finished, Outcome};
use crate::{Ending, Quarantine};

impl Router {
    /// Remembers an attempt, should its endpoint turn out to have ended because of it.
    pub(super) fn finish(&mut self, now: Duration, flight: &Flight, ending: Ending) {
        let (Some(process), Some(outcome)) = (flight.process, Outcome::of(ending)) else {
            return;
        };
        if outcome == Outcome::Broken && !self.quarantine.knows(process) {
            self.doubted.push(flight.endpoint);
        }
        let print = flight.print;
        let finished = Finished {
            at: now,
            process,
            print,
            outcome,
        };
        self.quarantine.finish(now, finished);
    }

    /// The requests that end endpoints.
    pub fn quarantine(&mut self) -> &mut Quarantine {
        &mut self.quarantine
    }

    /// Endpoints that may have ended, since connections to them broke; those that were
    /// asked for before are not among them, nor those of emptied data centres, to which
    /// nothing is opened any more.
    pub fn take_doubted(&mut self) -> Vec<(Key, EndpointId, SocketAddr)> {
        let mut doubted = std::mem::take(&mut self.doubted);
        doubted.sort_unstable();
        doubted.dedup();
        let known = |key| {
            let it = self.directory.get(key)?;
            let entry = (it.access == Access::Open).then_some(&it.entry)?;
            Some((key, entry.id.clone(), entry.address))
        };
        doubted.into_iter().filter_map(known).collect()
    }

    /// Takes that an endpoint's process has ended: nothing listens at its address.
    pub fn ended(&mut self, now: Duration, endpoint: Key) {
        if let Some(it) = self.directory.get(endpoint) {
            self.quarantine.end(now, it.entry.process());
        }
    }

    /// Takes that an endpoint's process has not ended: it takes connections.
    pub fn stands(&mut self, endpoint: Key) {
        if let Some(it) = self.directory.get(endpoint) {
            self.quarantine.stands(it.entry.process());
        }
    }
}
