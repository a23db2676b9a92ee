//! Applies faults to hosts, endpoints and the configuration.

use super::{Event, PROPAGATION, Sim};
use crate::{record::Fate, router::Input, scenario::Fault};

impl Sim<'_> {
    pub(super) fn fault_begins(&mut self, idx: usize) {
        match self.truth.scenario.events[idx].fault {
            Fault::Capacity { share } => {
                for endpoint in self.beyond(share) {
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
                self.lose_host(host);
                self.hosts_up[host] = false;
                self.tell_live();
            }
            Fault::HostReplaced { host } => self.lose_host(host),
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
            for endpoint in self.beyond(share) {
                self.start_endpoint(endpoint);
            }
        }
    }

    /// Returns the replicas of each model pool that exceed this share of the pool.
    fn beyond(&self, share: f64) -> Vec<usize> {
        let mut beyond = Vec::new();
        let mut first = 0;
        for pool in &self.truth.world.pools {
            let all = first..first + pool.replicas;
            first = all.end;
            if pool.versions.is_empty() {
                continue;
            }
            let kept = (1..=pool.replicas)
                .take_while(|it| part(*it, pool.replicas) <= share)
                .count();
            beyond.extend(all.skip(kept));
        }
        beyond
    }

    fn stop_endpoint(&mut self, endpoint: usize) {
        for attempt in self.endpoints[endpoint].stop() {
            self.cut(attempt);
        }
        self.tell_endpoint(endpoint);
    }

    fn start_endpoint(&mut self, endpoint: usize) {
        self.endpoints[endpoint].start();
        self.tell_endpoint(endpoint);
    }

    fn tell_endpoint(&mut self, endpoint: usize) {
        let it = &self.endpoints[endpoint];
        let event = Event::Endpoint {
            endpoint,
            incarnation: it.incarnation,
            up: it.up,
        };
        self.queue.push(self.now + PROPAGATION, event);
    }

    /// Fails a host's pending requests, cancels its attempts and resets its router state.
    fn lose_host(&mut self, host: usize) {
        for idx in 0..self.records.len() {
            let record = &self.records[idx];
            let arrived = self.arrivals[idx].at <= self.now;
            if arrived && record.host == host && record.fate == Fate::Pending {
                self.close(idx, Fate::Refused("host_lost"));
            }
        }
        let lost = self.attempts.keys().filter(|it| it.host == host).copied();
        for attempt in lost.collect::<Vec<_>>() {
            self.cancel(attempt);
        }
        self.router.replace(self.now, host);
    }

    fn tell_live(&mut self) {
        let live = self.hosts_up.iter().filter(|it| **it).count();
        self.tell_all(&Input::Hosts { live });
    }
}

fn part(number: usize, whole: usize) -> f64 {
    let [number, whole] = [number, whole].map(|it| f64::from(u32::try_from(it).unwrap_or(0)));
    number / whole
}
