//! Measures the traffic and the recovery time that one failure causes in a fleet.

use std::collections::BTreeSet;
use std::time::Duration;

use derive_more::Display;
use kernel::{HostName, Incarnation};
use wire::{Member, State};

use crate::measure::workload::{WARM_UP, members, start_hosts, to_f64};
use crate::measure::{Network, Traffic};
use crate::{Action, Event};

const CUT_DURATION: Duration = Duration::from_mins(5);

/// Duration of the observation after the failure, or after the replacement or
/// reconnection that ends it.
const OBSERVATION_TIME: Duration = Duration::from_mins(5);

/// A kind of failure.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Incident {
    /// One host dies and isn't replaced.
    Death,
    /// One host is replaced by a new incarnation ten seconds after its death.
    Restart,
    /// All hosts of a data centre die and aren't replaced.
    DataCentreLost,
    /// A network partition isolates a data centre for five minutes.
    DataCentreCut,
    /// A network partition isolates a region for five minutes.
    RegionCut,
}

/// The cost of an incident compared with the 30 seconds before it.
#[derive(Clone, Copy, Debug, Display, PartialEq)]
#[display(
    "{incident:>15} of {hosts} hosts: {bytes_mean:>7.0} B a host, {peak_mean:>6.0} B/s in the \
     worst second, settled {:>5.1} s after the {}, {wrong} hosts wrongly declared unreachable",
    settled.as_secs_f64(),
    if *incident == Incident::Death || *incident == Incident::DataCentreLost { "start" } else { "end" },
)]
pub struct Cost {
    /// The kind of failure.
    pub incident: Incident,
    /// The number of hosts.
    pub hosts: usize,
    /// Mean bytes that a host sent and received in excess of the baseline.
    pub bytes_mean: f64,
    /// Mean bytes per host in the busiest second, baseline included.
    pub peak_mean: f64,
    /// Time from the last change until each host saw as many live hosts as were
    /// running, with a resolution of one second. Equals the observation time if that
    /// never happened.
    pub settled: Duration,
    /// Number of unaffected hosts that another unaffected host declared
    /// unreachable since the start of the run, warm-up included.
    pub wrong: usize,
}

/// Measures one failure in a fleet without evidence traffic.
#[must_use]
pub fn incident(hosts: usize, seed: u64, incident: Incident) -> Cost {
    IncidentRun::new(hosts, seed, incident).run()
}

struct IncidentRun {
    network: Network,
    members: Vec<Member>,
    incident: Incident,
    /// The hosts that the failure affects directly.
    affected: BTreeSet<HostName>,
    baseline: f64,
    bytes_sum: f64,
    peak: f64,
    seconds: f64,
    wrong: BTreeSet<HostName>,
}

impl IncidentRun {
    fn new(hosts: usize, seed: u64, incident: Incident) -> Self {
        let members = members(hosts);
        let network = start_hosts(&members, seed);
        let first = &members[0];
        let is_affected = |it: &Member| match incident {
            Incident::Death | Incident::Restart => it.identity == first.identity,
            Incident::DataCentreLost | Incident::DataCentreCut => {
                it.data_centre == first.data_centre
            }
            Incident::RegionCut => it.region == first.region,
        };
        let affected = members.iter().filter(|it| is_affected(it));
        let affected = affected.map(|it| it.identity.host.clone()).collect();
        Self {
            network,
            members,
            incident,
            affected,
            baseline: 0.0,
            bytes_sum: 0.0,
            peak: 0.0,
            seconds: 0.0,
            wrong: BTreeSet::new(),
        }
    }

    fn run(mut self) -> Cost {
        self.network.run_until(WARM_UP * 2);
        self.observe(Duration::from_secs(30));
        self.baseline = self.bytes_sum / self.seconds;
        (self.bytes_sum, self.seconds, self.peak) = (0.0, 0.0, 0.0);
        self.inject();
        let settled = self.observe(OBSERVATION_TIME);
        Cost {
            incident: self.incident,
            hosts: self.members.len(),
            bytes_mean: self.bytes_sum - self.baseline * self.seconds,
            peak_mean: self.peak,
            settled,
            wrong: self.wrong.len(),
        }
    }

    /// Injects the failure, up to the replacement or reconnection that ends it.
    fn inject(&mut self) {
        match self.incident {
            Incident::Death | Incident::DataCentreLost => self.kill(),
            Incident::Restart => {
                self.kill();
                self.observe(Duration::from_secs(10));
                self.replace();
            }
            Incident::DataCentreCut | Incident::RegionCut => {
                self.cut();
                self.observe(CUT_DURATION);
                self.network.heal();
            }
        }
    }

    fn kill(&mut self) {
        for host in &self.affected {
            self.network.kill(host);
        }
    }

    fn replace(&mut self) {
        let affected = &self.affected;
        for member in &mut self.members {
            if affected.contains(&member.identity.host) {
                member.identity.incarnation = Incarnation(member.identity.incarnation.0 + 1);
                self.network.start(member.clone());
            }
        }
        let list = Event::Hosts(self.members.clone());
        for host in &self.affected {
            self.network.deliver(host, list.clone());
        }
    }

    fn cut(&mut self) {
        let names = self.members.iter().map(|it| &it.identity.host);
        let (inside, outside): (Vec<_>, Vec<_>) = names.partition(|it| self.affected.contains(*it));
        for a in &inside {
            for b in &outside {
                self.network.cut(a, b);
                self.network.cut(b, a);
            }
        }
    }

    /// Samples the fleet once per second for `time`. Returns the offset of the last
    /// sample in which the fleet hadn't converged.
    fn observe(&mut self, time: Duration) -> Duration {
        let begin = self.network.now();
        let mut wrong_until = Duration::ZERO;
        for second in 1..=time.as_secs() {
            self.network.reset_traffic();
            self.network.run_until(begin + Duration::from_secs(second));
            self.record_traffic();
            self.record_false_unreachable();
            if !self.has_converged() {
                wrong_until = Duration::from_secs(second);
            }
        }
        wrong_until
    }

    fn record_traffic(&mut self) {
        let hosts = to_f64(self.network.traffic().count() as u64);
        let bytes = self.network.traffic().map(Traffic::steady_bytes).sum();
        let mean = to_f64(bytes) / hosts;
        self.bytes_sum += mean;
        self.seconds += 1.0;
        self.peak = self.peak.max(mean);
    }

    /// Returns whether each host sees as many live hosts as are running.
    fn has_converged(&self) -> bool {
        let running = self.network.fleets().count();
        self.network.fleets().all(|fleet| {
            let others = fleet.members();
            let alive = others.filter(|it| it.state == State::Alive).count();
            alive + 1 == running
        })
    }

    /// Records unaffected hosts that another unaffected host declared unreachable.
    fn record_false_unreachable(&mut self) {
        for observed in self.network.observed.drain(..) {
            let Action::Member(change) = observed.action else {
                continue;
            };
            let about = &change.member.identity.host;
            let is_concerned =
                self.affected.contains(about) || self.affected.contains(&observed.host);
            if change.member.state == State::Unreachable && !is_concerned {
                self.wrong.insert(about.clone());
            }
        }
    }
}
