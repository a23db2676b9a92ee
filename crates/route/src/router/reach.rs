//! Whether this host reaches endpoints.

use std::net::SocketAddr;
use std::time::Duration;

use kernel::EndpointId;
use rand::RngExt;

use super::Router;
use crate::endpoint::Key;
use crate::reach::State;

impl Router {
    /// Returns whether this host can open connections to endpoints.
    #[must_use]
    pub fn reach(&self) -> State {
        self.reach.state()
    }

    /// Records that a connection to an endpoint was opened.
    pub fn connect_opened(&mut self) {
        self.reach.record_opened();
    }

    /// Records that a connection to an endpoint couldn't be opened.
    pub fn connect_failed(&mut self, now: Duration, endpoint: Key) {
        let (known, _) = self.directory.endpoint_counts(now);
        self.reach.record_failed(now, endpoint, known);
    }

    /// Returns whether connections to endpoints must be opened to learn whether this host is cut
    /// off from all of them, or still is.
    #[must_use]
    pub fn needs_reach_checks(&self) -> bool {
        self.reach.checks() > 0
    }

    /// Returns the endpoints to which connections must be opened now to learn whether this host is
    /// cut off from all of them, or still is; none if nothing indicates that. Prefers endpoints
    /// whose connections haven't failed, in a random order, so that the endpoints of one data
    /// centre or service that is down aren't taken for all.
    pub fn reach_checks(&mut self) -> Vec<(Key, EndpointId, SocketAddr)> {
        let count = self.reach.checks();
        let mut order = Vec::new();
        for (key, it) in self.directory.taking_work() {
            let has_failed = self.reach.has_failed(key);
            order.push((has_failed, self.rng.random::<u32>(), key, &it.entry));
        }
        order.sort_unstable_by_key(|it| (it.0, it.1));
        order.truncate(count);
        order
            .into_iter()
            .map(|(_, _, key, entry)| (key, entry.id.clone(), entry.address))
            .collect()
    }
}
