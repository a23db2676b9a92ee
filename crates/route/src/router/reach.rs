//! Whether this host reaches endpoints.

use std::net::SocketAddr;
use std::time::Duration;

use kernel::EndpointId;
use rand::seq::IteratorRandom;
use rand_pcg::Pcg32;

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
        self.reach_sample(count, None)
    }

    /// Returns some endpoints other than this one, by which to tell whether a connection to it was
    /// refused because its process has exited or because this host reaches no endpoint.
    pub fn reach_references(&mut self, endpoint: Key) -> Vec<(Key, EndpointId, SocketAddr)> {
        /// Several, since other endpoints may have exited too.
        const COUNT: usize = 4;
        self.reach_sample(COUNT, Some(endpoint))
    }

    fn reach_sample(
        &mut self,
        count: usize,
        except: Option<Key>,
    ) -> Vec<(Key, EndpointId, SocketAddr)> {
        let (directory, reach) = (&self.directory, &self.reach);
        let sample = |has_failed: bool, count: usize, rng: &mut Pcg32| {
            directory
                .taking_work()
                .filter(|it| Some(it.0) != except && reach.has_failed(it.0) == has_failed)
                .sample(rng, count)
        };
        let mut endpoints = sample(false, count, &mut self.rng);
        if endpoints.len() < count {
            endpoints.extend(sample(true, count - endpoints.len(), &mut self.rng));
        }
        endpoints
            .into_iter()
            .map(|(key, it)| (key, it.entry.id.clone(), it.entry.address))
            .collect()
    }
}
