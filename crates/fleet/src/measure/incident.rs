//! What one failure costs a fleet, from its start until all know the same again.

use std::collections::BTreeSet;
use std::time::Duration;

use derive_more::Display;
use kernel::{HostName, Incarnation};
use wire::{Member, State};

use crate::measure::workload::{WARM_UP, members, real, start};
use crate::measure::{Network, Traffic};
use crate::{Action, Event};

/// How long a cut lasts.
const CUT: Duration = Duration::from_mins(5);

/// How long the fleet is watched after the last change.
const WATCH: Duration = Duration::from_mins(5);

/// A kind of failure.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Incident {
    /// One host dies and stays away.
    Death,
    /// One host is replaced by a new incarnation ten seconds after its death.
    Restart,
    /// A data centre dies and stays away.
    DataCentreLost,
    /// A data centre is cut off for five minutes and comes back.
    DataCentreCut,
    /// A region is cut off for five minutes and comes back.
    RegionCut,
}

/// What it cost, beyond what the quiet fleet spends.
#[derive(Clone, Copy, Debug, Display, PartialEq)]
#[display(
    "{incident:>15} of {hosts} hosts: {bytes_mean:>7.0} B a host, {peak_mean:>6.0} B/s in the \
     worst second, settled {:>5.1} s after the {}, {wrong} hosts wrongly declared unreachable",
    settled.as_secs_f64(),
    if *incident == Incident::Death || *incident == Incident::DataCentreLost { "start" } else { "end" },
)]
pub struct Cost {
    /// The failure.
    pub incident: Incident,
    /// The fleet's size.
    pub hosts: usize,
    /// Bytes that the mean host sent and received beyond the usual.
    pub bytes_mean: f64,
    /// Bytes of the mean host in its worst second, the usual ones included.
    pub peak_mean: f64,
    /// From the last change until all views were right, seen once a second.
    pub settled: Duration,
    /// Hosts that somebody outside of the failure declared unreachable although
    /// they could be reached.
    pub wrong: usize,
}

/// Measures one failure in a fleet that counts no evidence.
#[must_use]
pub fn incident(hosts: usize, seed: u64, incident: Incident) -> Cost {
    Course::new(hosts, seed, incident).run()
}

struct Course {
    network: Network,
    members: Vec<Member>,
    incident: Incident,
    /// Those to whom it happens.
    hit: BTreeSet<HostName>,
    usual: f64,
    sum: f64,
    peak: f64,
    seconds: f64,
    wrong: BTreeSet<HostName>,
}

impl Course {
    fn new(hosts: usize, seed: u64, incident: Incident) -> Self {
        let members = members(hosts);
        let network = start(&members, seed);
        let first = &members[0];
        let is_hit = |it: &Member| match incident {
            Incident::Death | Incident::Restart => it.identity == first.identity,
            Incident::DataCentreLost | Incident::DataCentreCut => {
                it.data_centre == first.data_centre
            }
            Incident::RegionCut => it.region == first.region,
        };
        let hit = members.iter().filter(|it| is_hit(it));
        let hit = hit.map(|it| it.identity.host.clone()).collect();
        Self {
            network,
            members,
            incident,
            hit,
            usual: 0.0,
            sum: 0.0,
            peak: 0.0,
            seconds: 0.0,
            wrong: BTreeSet::new(),
        }
    }

    fn run(mut self) -> Cost {
        self.network.run_until(WARM_UP * 2);
        self.watch(Duration::from_secs(30));
        self.usual = self.sum / self.seconds;
        (self.sum, self.seconds, self.peak) = (0.0, 0.0, 0.0);
        self.begin();
        let settled = self.watch(WATCH);
        Cost {
            incident: self.incident,
            hosts: self.members.len(),
            bytes_mean: self.sum - self.usual * self.seconds,
            peak_mean: self.peak,
            settled,
            wrong: self.wrong.len(),
        }
    }

    /// Brings the failure about, up to its last change.
    fn begin(&mut self) {
        match self.incident {
            Incident::Death | Incident::DataCentreLost => self.kill(),
            Incident::Restart => {
                self.kill();
                self.watch(Duration::from_secs(10));
                self.replace();
            }
            Incident::DataCentreCut | Incident::RegionCut => {
                self.cut();
                self.watch(CUT);
                self.network.heal();
            }
        }
    }

    fn kill(&mut self) {
        for host in &self.hit {
            self.network.kill(host);
        }
    }

    fn replace(&mut self) {
        let hit = &self.hit;
        for member in &mut self.members {
            if hit.contains(&member.identity.host) {
                member.identity.incarnation = Incarnation(member.identity.incarnation.0 + 1);
                self.network.start(member.clone());
            }
        }
        let list = Event::Hosts(self.members.clone());
        for host in &self.hit {
            self.network.tell(host, list.clone());
        }
    }

    fn cut(&mut self) {
        let names = self.members.iter().map(|it| &it.identity.host);
        let (inside, outside): (Vec<_>, Vec<_>) = names.partition(|it| self.hit.contains(*it));
        for a in &inside {
            for b in &outside {
                self.network.cut(a, b);
                self.network.cut(b, a);
            }
        }
    }

    /// Counts second by second; gives when the views were last wrong.
    fn watch(&mut self, time: Duration) -> Duration {
        let begin = self.network.now();
        let mut wrong_until = Duration::ZERO;
        for second in 1..=time.as_secs() {
            self.network.reset_traffic();
            self.network.run_until(begin + Duration::from_secs(second));
            self.count();
            self.note_wrong();
            if !self.is_settled() {
                wrong_until = Duration::from_secs(second);
            }
        }
        wrong_until
    }

    fn count(&mut self) {
        let hosts = real(self.network.traffic().count() as u64);
        let bytes = self.network.traffic().map(Traffic::steady_bytes).sum();
        let mean = real(bytes) / hosts;
        self.sum += mean;
        self.seconds += 1.0;
        self.peak = self.peak.max(mean);
    }

    /// Whether each host sees exactly those alive that are there.
    fn is_settled(&self) -> bool {
        let there = self.network.fleets().count();
        self.network.fleets().all(|fleet| {
            let others = fleet.members();
            let alive = others.filter(|it| it.state == State::Alive).count();
            alive + 1 == there
        })
    }

    /// Notes hosts outside of the failure that others outside of it declared
    /// unreachable.
    fn note_wrong(&mut self) {
        for observed in self.network.observed.drain(..) {
            let Action::Member(change) = observed.action else {
                continue;
            };
            let about = &change.member.identity.host;
            let is_concerned = self.hit.contains(about) || self.hit.contains(&observed.host);
            if change.member.state == State::Unreachable && !is_concerned {
                self.wrong.insert(about.clone());
            }
        }
    }
}
