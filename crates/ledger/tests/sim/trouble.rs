//! Faults of hosts and network, and how membership views follow them.

use std::time::Duration;

use kernel::{Incarnation, RequestId};
use ledger::Event;

use super::{Happening, Power, Reply, World};

/// Delay until the fleet detects a failure.
const DETECTION: Duration = Duration::from_secs(3);

impl World {
    pub(crate) fn kill(&mut self, idx: usize) {
        self.hosts[idx].power = Power::Off;
        self.hosts[idx].inbox.clear();
        let lost: Vec<RequestId> = self
            .calls
            .values()
            .filter(|call| call.host == idx && call.result.is_none())
            .map(|call| call.arrival.request.clone())
            .collect();
        for request in lost {
            self.end(&request, Reply::Lost);
        }
        self.look_soon();
    }

    /// Starts a new process of a killed host, without state and under a new incarnation.
    pub(crate) fn restart(&mut self, idx: usize) {
        let host = &self.hosts[idx];
        let (name, data_centre) = (host.name.clone(), host.data_centre.to_string());
        self.add(&name, &data_centre, host.tuning.clone());
    }

    pub(crate) fn freeze(&mut self, idx: usize) {
        if self.hosts[idx].power == Power::On {
            self.hosts[idx].power = Power::Frozen;
            self.look_soon();
        }
    }

    /// Resumes a host. It handles the events that waited, in order.
    pub(crate) fn thaw(&mut self, idx: usize) {
        if self.hosts[idx].power != Power::Frozen {
            return;
        }
        self.hosts[idx].power = Power::On;
        self.look_soon();
        for event in std::mem::take(&mut self.hosts[idx].inbox) {
            let to = self.hosts[idx].incarnation;
            self.feed(to, event);
        }
    }

    pub(crate) fn drain(&mut self, idx: usize) {
        self.hosts[idx].state = ledger::State::Leaving;
        self.look_now();
        let to = self.hosts[idx].incarnation;
        self.feed(to, Event::Drain);
    }

    pub(crate) fn cut(&mut self, one: usize, other: usize) {
        self.cuts.insert((one, other));
        self.look_soon();
    }

    pub(crate) fn mend(&mut self) {
        self.cuts.clear();
        self.look_soon();
    }

    pub(super) fn look_soon(&mut self) {
        for idx in 0..self.hosts.len() {
            self.at(DETECTION, Happening::Look(idx));
        }
    }

    pub(super) fn look_now(&mut self) {
        for idx in 0..self.hosts.len() {
            self.look(idx);
        }
    }

    /// Reports to a host which other hosts are reachable.
    pub(super) fn look(&mut self, idx: usize) {
        let me = &self.hosts[idx];
        let peers: Vec<_> = self
            .hosts
            .iter()
            .enumerate()
            .filter(|(_, host)| host.power == Power::On && host.incarnation != me.incarnation)
            .filter(|(other, _)| {
                !self.cuts.contains(&(idx, *other)) && !self.cuts.contains(&(*other, idx))
            })
            .map(|(_, host)| host.as_peer())
            .collect();
        let to = me.incarnation;
        self.feed(to, Event::Hosts(peers));
    }

    /// Gives a running process a new incarnation.
    pub(crate) fn renew(&mut self, idx: usize) {
        self.incarnations += 1;
        let me = Incarnation(self.incarnations);
        let before = self.hosts[idx].incarnation;
        self.hosts[idx].incarnation = me;
        for happening in self.queue.values_mut() {
            // The process is the same, so its timers and table responses must still reach it.
            match happening {
                Happening::Event(to, _) | Happening::Tick(to) | Happening::Write(to, ..)
                    if *to == before =>
                {
                    *to = me;
                }
                _ => {}
            }
        }
        self.handle(idx, Event::Renew { me });
        self.look_now();
    }
}
