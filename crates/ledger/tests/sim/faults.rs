//! Faults of hosts and network, and how membership views follow them.

use std::time::Duration;

use kernel::{Incarnation, RequestId};
use ledger::Event;

use super::{Reply, RunState, Scheduled, World};

/// Delay until the membership views follow a change.
const DETECTION_DELAY: Duration = Duration::from_secs(3);

impl World {
    pub(crate) fn kill(&mut self, idx: usize) {
        self.hosts[idx].run_state = RunState::Killed;
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
        self.schedule_view_updates();
    }

    /// Starts a new process of a killed host, without state and under a new incarnation.
    pub(crate) fn restart(&mut self, idx: usize) {
        let host = &self.hosts[idx];
        let (name, data_centre) = (host.name.clone(), host.data_centre.to_string());
        self.add(&name, &data_centre, host.tuning.clone());
    }

    pub(crate) fn freeze(&mut self, idx: usize) {
        if self.hosts[idx].run_state == RunState::Running {
            self.hosts[idx].run_state = RunState::Frozen;
            self.schedule_view_updates();
        }
    }

    /// Resumes a host. It handles the events that waited, in order.
    pub(crate) fn thaw(&mut self, idx: usize) {
        if self.hosts[idx].run_state != RunState::Frozen {
            return;
        }
        self.hosts[idx].run_state = RunState::Running;
        self.schedule_view_updates();
        for event in std::mem::take(&mut self.hosts[idx].inbox) {
            let to = self.hosts[idx].incarnation;
            self.feed(to, event);
        }
    }

    pub(crate) fn drain(&mut self, idx: usize) {
        self.hosts[idx].state = ledger::PeerState::Leaving;
        self.update_all_views();
        let to = self.hosts[idx].incarnation;
        self.feed(to, Event::Drain);
    }

    pub(crate) fn disconnect(&mut self, one: usize, other: usize) {
        self.disconnected.insert((one, other));
        self.schedule_view_updates();
    }

    pub(crate) fn reconnect(&mut self) {
        self.disconnected.clear();
        self.schedule_view_updates();
    }

    pub(super) fn schedule_view_updates(&mut self) {
        for idx in 0..self.hosts.len() {
            self.schedule(DETECTION_DELAY, Scheduled::UpdateView(idx));
        }
    }

    pub(super) fn update_all_views(&mut self) {
        for idx in 0..self.hosts.len() {
            self.update_view(idx);
        }
    }

    /// Reports to a host which other hosts are reachable.
    pub(super) fn update_view(&mut self, idx: usize) {
        let me = &self.hosts[idx];
        let peers: Vec<_> = self
            .hosts
            .iter()
            .enumerate()
            .filter(|(_, host)| {
                host.run_state == RunState::Running && host.incarnation != me.incarnation
            })
            .filter(|(other, _)| {
                !self.disconnected.contains(&(idx, *other))
                    && !self.disconnected.contains(&(*other, idx))
            })
            .map(|(_, host)| host.as_peer())
            .collect();
        let to = me.incarnation;
        self.feed(to, Event::Hosts(peers));
    }

    /// Gives a running process a new incarnation.
    pub(crate) fn renew(&mut self, idx: usize) {
        self.last_incarnation += 1;
        let me = Incarnation(self.last_incarnation);
        let before = self.hosts[idx].incarnation;
        self.hosts[idx].incarnation = me;
        for scheduled in self.queue.values_mut() {
            // The process is the same, so its timers and table responses must still reach it.
            match scheduled {
                Scheduled::Event(to, _) | Scheduled::Tick(to) | Scheduled::Write(to, ..)
                    if *to == before =>
                {
                    *to = me;
                }
                _ => {}
            }
        }
        self.handle(idx, Event::Renew { me });
        self.update_all_views();
    }
}
