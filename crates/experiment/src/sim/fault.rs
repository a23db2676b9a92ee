//! Applies faults to hosts, endpoints and the configuration.

use super::{Event, PROPAGATION_DELAY, Sim};
use crate::{record::RequestStatus, router::Input, scenario::Fault};

impl Sim<'_> {
    pub(super) fn fault_begins(&mut self, idx: usize) {
        match self.truth.scenario.events[idx].fault {
            Fault::Capacity { share } => {
                for endpoint in self.replicas_above_share(share) {
                    self.stop_endpoint(endpoint);
                }
            }
            Fault::Withdrawn { version } => {
                self.configuration.withdraw(version);
                self.withdrawn_at[version.idx()] = Some(self.now);
                self.publish();
            }
            Fault::Rollout { version, replaces } => {
                self.configuration.roll_out(version, replaces);
                self.publish();
            }
            Fault::HostLost { host } => {
                self.fail_host(host);
                self.hosts_up[host] = false;
                self.publish_live_hosts();
            }
            Fault::HostReplaced { host } => self.fail_host(host),
            Fault::Bad { .. }
            | Fault::Drift { .. }
            | Fault::RatingsLate { .. }
            | Fault::RatingsOut
            | Fault::LoadStale { .. }
            | Fault::Flood { .. }
            | Fault::Surge { .. } => {}
        }
    }

    pub(super) fn fault_ends(&mut self, idx: usize) {
        if let Fault::Capacity { share } = self.truth.scenario.events[idx].fault {
            for endpoint in self.replicas_above_share(share) {
                self.start_endpoint(endpoint);
            }
        }
    }

    /// Returns the replicas of each model pool that exceed this share of the pool.
    fn replicas_above_share(&self, share: f64) -> Vec<usize> {
        let mut replicas = Vec::new();
        let mut first = 0;
        for pool in &self.truth.world.pools {
            let all = first..first + pool.replicas;
            first = all.end;
            if pool.versions.is_empty() {
                continue;
            }
            let kept = (1..=pool.replicas)
                .take_while(|it| fraction(*it, pool.replicas) <= share)
                .count();
            replicas.extend(all.skip(kept));
        }
        replicas
    }

    fn stop_endpoint(&mut self, endpoint: usize) {
        for attempt in self.endpoints[endpoint].stop() {
            self.abort_attempt(attempt);
        }
        self.publish_endpoint(endpoint);
    }

    fn start_endpoint(&mut self, endpoint: usize) {
        self.endpoints[endpoint].start();
        self.publish_endpoint(endpoint);
    }

    fn publish_endpoint(&mut self, endpoint: usize) {
        let it = &self.endpoints[endpoint];
        let event = Event::Endpoint {
            endpoint,
            incarnation: it.incarnation,
            up: it.up,
        };
        self.queue.push(self.now + PROPAGATION_DELAY, event);
    }

    /// Fails a host's pending requests, cancels its attempts and resets its router state.
    fn fail_host(&mut self, host: usize) {
        for idx in 0..self.records.len() {
            let record = &self.records[idx];
            let arrived = self.arrivals[idx].at <= self.now;
            if arrived && record.host == host && record.status == RequestStatus::Pending {
                self.close(idx, RequestStatus::Failed("host_lost"));
            }
        }
        let lost = self.attempts.keys().filter(|it| it.host == host).copied();
        for attempt in lost.collect::<Vec<_>>() {
            self.cancel(attempt);
        }
        self.router.replace(self.now, host);
    }

    fn publish_live_hosts(&mut self) {
        let live = self.hosts_up.iter().filter(|it| **it).count();
        self.handle_input_at_all_hosts(&Input::Hosts { live });
    }
}

fn fraction(number: usize, whole: usize) -> f64 {
    let [number, whole] = [number, whole].map(|it| f64::from(u32::try_from(it).unwrap_or(0)));
    number / whole
}
