//! The simulated fleet of a measurement, and its workload.

use std::collections::BTreeSet;
use std::time::Duration;

use kernel::{HostName, Incarnation, Revision};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use wire::{Delta, Identity, Member, State, Topic};

use crate::measure::{Figures, Network, Traffic};
use crate::{Action, Event, Fleet, Tuning};

/// The numbers of data centres and regions of the target fleet.
const DATA_CENTRES: usize = 18;
const REGIONS: usize = 6;

/// Requests per second and host of the target fleet.
const REQUESTS_PER_SECOND: f64 = 1_800.0 / 330.0;

/// The numbers of model versions, request classes and customers.
const VERSIONS: usize = 34;
const CLASSES: usize = 4;
const CUSTOMERS: usize = 30;

/// Indices of the evidence counters that a request increments.
const RESPONSE: u8 = 0;
const ERROR: u8 = 1;
const GOOD: u8 = 2;
const MILLIS: u8 = 3;
const TOKENS: u8 = 4;

/// The fractions of requests that fail, and that receive a rating.
const ERROR_RATE: f64 = 0.01;
const RATING_RATE: f64 = 0.05;

/// The size of the configuration, and the approximate number of its changes per
/// measurement. Changes are more frequent than in production, so documents are
/// counted separately.
const DOCUMENT_BYTES: usize = 48 * 1024;
const CONFIGURATION_CHANGES: u64 = 3;

/// The probability that a frame is lost.
const FRAME_LOSS: f64 = 0.005;

/// Time in which the hosts discover each other before a measurement.
pub(super) const WARM_UP: Duration = Duration::from_mins(1);

pub(super) struct Workload {
    network: Network,
    rng: Pcg64,
    members: Vec<Member>,
}

/// A change of the configuration.
struct Commit {
    at: Duration,
    revision: Revision,
    /// Time from the commit until the revision was in force on all hosts.
    propagation_time: Option<Duration>,
}

/// Observations gathered during a measurement.
#[derive(Default)]
struct Observations {
    commits: Vec<Commit>,
    killed: Option<(Duration, BTreeSet<HostName>)>,
    suspicion: Duration,
    detection: Duration,
    proof_age: Duration,
    false_suspicions: usize,
    false_deaths: usize,
}

impl Observations {
    /// Returns the time from the host's kill to `at`, or `None` if it wasn't killed.
    fn since_killed(&self, host: &HostName, at: Duration) -> Option<Duration> {
        let (killed_at, killed) = self.killed.as_ref()?;
        killed.contains(host).then(|| at.saturating_sub(*killed_at))
    }
}

impl Workload {
    pub(super) fn new(hosts: usize, seed: u64) -> Self {
        let members = members(hosts);
        Self {
            network: start_hosts(&members, seed),
            rng: Pcg64::seed_from_u64(seed.wrapping_add(1)),
            members,
        }
    }

    pub(super) fn run(mut self, duration: Duration) -> Figures {
        self.network.run_until(WARM_UP);
        self.network.reset_traffic();
        self.network.observed.clear();
        self.network.table.reads = 0;
        let seconds = duration.as_secs();
        let mut observations = Observations::default();
        for second in 0..seconds {
            self.step(second, seconds, &mut observations);
        }
        self.figures(seconds, &observations)
    }

    /// Simulates one second: evidence throughout, configuration changes and kills
    /// when they are due.
    fn step(&mut self, second: u64, seconds: u64, observations: &mut Observations) {
        let interval = (seconds / CONFIGURATION_CHANGES).max(1);
        if second % interval == interval / 4 {
            let revision = self.network.table.commit();
            observations.commits.push(Commit {
                at: self.network.now(),
                revision,
                propagation_time: None,
            });
        }
        if second == seconds / 2 {
            self.kill_hosts(observations);
        }
        let slices = 20;
        for slice in 0..slices {
            if slice % 5 == 0 {
                self.deliver_evidence();
            }
            let next = self.network.now() + Duration::from_secs(1) / slices;
            self.network.run_until(next);
            self.observe(observations);
        }
    }

    fn kill_hosts(&mut self, observations: &mut Observations) {
        let count = (self.members.len() / 100).max(1);
        let mut killed = BTreeSet::new();
        while killed.len() < count {
            let at = self.rng.random_range(0..self.members.len());
            killed.insert(self.members[at].identity.host.clone());
        }
        for host in &killed {
            self.network.kill(host);
        }
        observations.killed = Some((self.network.now(), killed));
    }

    fn deliver_evidence(&mut self) {
        let hosts: Vec<_> = self
            .network
            .fleets()
            .map(|it| it.me().identity.host.clone())
            .collect();
        for host in hosts {
            let deltas = self.deltas();
            self.network.deliver(&host, Event::Evidence(deltas));
        }
    }

    /// Returns one host's evidence for a quarter of a second.
    fn deltas(&mut self) -> Vec<Delta> {
        let mut deltas = Vec::new();
        let requests = REQUESTS_PER_SECOND / 4.0;
        let whole = requests.floor();
        let one_more = self.rng.random_bool(requests - whole);
        let mut left = whole + f64::from(u8::from(one_more));
        while left >= 1.0 {
            left -= 1.0;
            deltas.push(self.version_delta());
            deltas.push(self.customer_delta());
        }
        deltas
    }

    fn version_delta(&mut self) -> Delta {
        let version = self.skewed_index(VERSIONS);
        let class = self.rng.random_range(0..CLASSES);
        let mut delta = Delta::new(Topic::Version {
            version: format!("model-{}@{version}", version / 3).as_str().into(),
            class: format!("class-{class}").into(),
        });
        if self.rng.random_bool(ERROR_RATE) {
            delta.is_urgent = true;
            delta.counts.add(ERROR, 1);
        } else {
            delta.counts.add(RESPONSE, 1);
            let millis = self.rng.random_range(100..3_000);
            delta.counts.add(MILLIS, millis);
            let tokens = self.rng.random_range(10..1_000);
            delta.counts.add(TOKENS, tokens);
        }
        if self.rng.random_bool(RATING_RATE) {
            delta.counts.add(GOOD, 1);
        }
        delta
    }

    fn customer_delta(&mut self) -> Delta {
        let customer = self.skewed_index(CUSTOMERS);
        let name = format!("customer-{customer}");
        let mut delta = Delta::new(Topic::Customer(name.as_str().into()));
        delta.counts.add(RESPONSE, 1);
        let tokens = self.rng.random_range(10..1_000);
        delta.counts.add(TOKENS, tokens);
        delta
    }

    /// Draws a number below `count`; lower numbers are more likely.
    fn skewed_index(&mut self, count: usize) -> usize {
        let a = self.rng.random_range(0..count);
        let b = self.rng.random_range(0..count);
        a.min(b)
    }

    fn observe(&mut self, observations: &mut Observations) {
        let now = self.network.now();
        let lowest = self.network.fleets().map(Fleet::revision).min();
        for commit in &mut observations.commits {
            if lowest >= Some(commit.revision) && commit.propagation_time.is_none() {
                commit.propagation_time = Some(now.saturating_sub(commit.at));
            }
        }
        let ages = self.network.fleets().map(|it| it.proof_age(now));
        let oldest = ages.map(|it| it.unwrap_or(Duration::MAX)).max();
        observations.proof_age = observations.proof_age.max(oldest.unwrap_or_default());
        self.record_state_changes(observations);
    }

    /// Records the detection times of killed hosts, and false suspicions and deaths
    /// of live ones.
    fn record_state_changes(&mut self, observations: &mut Observations) {
        let mut falsely_suspected = BTreeSet::new();
        let mut falsely_dead = BTreeSet::new();
        for observed in self.network.observed.drain(..) {
            let Action::Member(change) = observed.action else {
                continue;
            };
            let state = change.member.state;
            let host = change.member.identity.host;
            if state < State::Suspect {
                continue;
            }
            let is_suspicion = state == State::Suspect;
            let Some(elapsed) = observations.since_killed(&host, observed.at) else {
                let wrong = if is_suspicion {
                    &mut falsely_suspected
                } else {
                    &mut falsely_dead
                };
                wrong.insert(host);
                continue;
            };
            let longest = if is_suspicion {
                &mut observations.suspicion
            } else {
                &mut observations.detection
            };
            *longest = elapsed.max(*longest);
        }
        observations.false_suspicions += falsely_suspected.len();
        observations.false_deaths += falsely_dead.len();
    }

    fn figures(&self, seconds: u64, observations: &Observations) -> Figures {
        let per_second = |it: f64| it / to_f64(seconds);
        let count = to_f64(self.network.traffic().count() as u64);
        let sum_of = |of: fn(&Traffic) -> u64| to_f64(self.network.traffic().map(of).sum());
        let max_of =
            |of: fn(&Traffic) -> u64| to_f64(self.network.traffic().map(of).max().unwrap_or(0));
        let processor: Duration = self.network.traffic().map(|it| it.processor).sum();
        let changes = observations.commits.len().max(1);
        let propagation_times: Vec<_> = observations
            .commits
            .iter()
            .map(|it| it.propagation_time.unwrap_or(Duration::MAX))
            .collect();
        let total = propagation_times
            .iter()
            .fold(Duration::ZERO, |sum, it| sum.saturating_add(*it));
        Figures {
            hosts: self.members.len(),
            bytes_mean: per_second(sum_of(Traffic::steady_bytes) / count),
            bytes_max: per_second(max_of(Traffic::steady_bytes)),
            document_mean: sum_of(|it| it.document_bytes) / count / to_f64(changes as u64),
            probe_bytes: per_second(sum_of(|it| it.probe_bytes) / count),
            news_bytes: per_second(sum_of(|it| it.news_bytes) / count),
            evidence_bytes: per_second(sum_of(|it| it.evidence_bytes) / count),
            frames: per_second(sum_of(|it| it.frames_sent) / count),
            peers_max: self.network.peers().max().unwrap_or(0),
            processor: per_second(processor.as_secs_f64() / count),
            state_bytes: self.network.fleets().map(Fleet::bytes).max().unwrap_or(0),
            revision_mean: total / u32::try_from(changes).unwrap_or(1),
            revision_max: propagation_times.into_iter().max().unwrap_or_default(),
            proof_age_max: observations.proof_age,
            suspicion_max: observations.suspicion,
            detection_max: observations.detection,
            false_suspicions: observations.false_suspicions,
            false_deaths: observations.false_deaths,
            table_reads: per_second(to_f64(self.network.table.reads)),
        }
    }
}

/// Converts a count to `f64`, saturating at `u32::MAX`.
pub(super) fn to_f64(count: u64) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

/// Returns the membership records of a fleet of `hosts`.
pub(super) fn members(hosts: usize) -> Vec<Member> {
    (0..hosts).map(|it| member(it, hosts)).collect()
}

/// Starts all hosts at once; each knows the others only from the platform's list.
pub(super) fn start_hosts(members: &[Member], seed: u64) -> Network {
    let mut network = Network::new(seed, Tuning::default());
    network.loss = FRAME_LOSS;
    network.table.json = vec![b' '; DOCUMENT_BYTES].into();
    network.table.commit();
    for member in members {
        network.start(member.clone());
    }
    for member in members {
        let list = Event::Hosts(members.to_vec());
        network.deliver(&member.identity.host, list);
    }
    network
}

/// Returns the record of host `index` of `hosts`, with at least two hosts per data
/// centre where the fleet is large enough.
fn member(index: usize, hosts: usize) -> Member {
    let data_centres = (hosts / 2).clamp(1, DATA_CENTRES);
    let data_centre = index % data_centres;
    let region = data_centre % REGIONS;
    let [_, .., high, low] = index.to_be_bytes();
    let address = |port: u16| ([10, 0, high, low], port).into();
    Member {
        identity: Identity {
            host: format!("entry-{index}").as_str().into(),
            incarnation: Incarnation(1_760_000_000_000),
        },
        refutation: 0,
        state: State::Alive,
        fleet_address: address(7600),
        address: address(7443),
        data_centre: format!("centre-{data_centre}").as_str().into(),
        region: format!("region-{region}").as_str().into(),
    }
}
