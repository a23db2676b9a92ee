//! Detection of endpoints whose processes have exited, and of the requests that cause it.

use std::net::SocketAddr;
use std::time::Duration;

use kernel::EndpointId;

use super::{InFlight, Router};
use crate::endpoint::Key;
use crate::evacuation::DataCentreAccess;
use crate::quarantine::{FinishedAttempt, Outcome};
use crate::{Ending, Quarantine};

impl Router {
    /// Records an attempt that ended, in case it made the endpoint's process exit.
    pub(super) fn record_finished(&mut self, now: Duration, in_flight: &InFlight, ending: Ending) {
        let (Some(process), Some(outcome)) = (in_flight.process, Outcome::of(ending)) else {
            return;
        };
        if outcome == Outcome::Broken && !self.quarantine.has_exited(process) {
            self.probe_candidates.push(in_flight.endpoint);
        }
        let parts = in_flight.parts.iter().copied();
        for fingerprint in [in_flight.fingerprint].into_iter().chain(parts) {
            let finished = FinishedAttempt {
                at: now,
                process,
                fingerprint,
                outcome,
            };
            self.quarantine.record_attempt(now, finished);
        }
    }

    /// Returns the quarantine.
    pub fn quarantine(&mut self) -> &mut Quarantine {
        &mut self.quarantine
    }

    /// Returns the endpoints to which connections broke since the last call and whose
    /// processes may have exited. Excludes endpoints in evacuated data centres, since no
    /// connections are opened to these.
    pub fn take_probe_candidates(&mut self) -> Vec<(Key, EndpointId, SocketAddr)> {
        let mut probe_candidates = std::mem::take(&mut self.probe_candidates);
        probe_candidates.sort_unstable();
        probe_candidates.dedup();
        let known = |key| {
            let it = self.directory.get(key)?;
            let entry = (it.access == DataCentreAccess::Open).then_some(&it.entry)?;
            Some((key, entry.id.clone(), entry.address))
        };
        probe_candidates.into_iter().filter_map(known).collect()
    }

    /// Records that an endpoint's process has exited: nothing listens at its address.
    pub fn process_ended(&mut self, now: Duration, endpoint: Key) {
        if let Some(it) = self.directory.get(endpoint) {
            self.quarantine.record_exit(now, it.entry.process());
        }
    }

    /// Records that an endpoint's process is alive: it accepts connections.
    pub fn process_alive(&mut self, endpoint: Key) {
        if let Some(it) = self.directory.get(endpoint) {
            self.quarantine.record_alive(it.entry.process());
        }
    }
}
