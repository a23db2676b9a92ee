//! Simulates one scenario under one router on a virtual clock.

mod caller;
mod event;
mod fault;
mod replica;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use decide::action::Verdict;

use self::event::Event;
use crate::{
    arrival::Arrival,
    attempt::{Attempt, AttemptKey},
    configuration::Configuration,
    endpoint::Endpoint,
    ground_truth::{GroundTruth, VersionIdx},
    queue::Queue,
    rating_service::RatingService,
    record::{Record, RequestStatus},
    router::{Baseline, Core, Input, Output, Router, RouterKind},
    scenario::Fault,
};

/// One-way network latency between an entry host and an endpoint.
const NETWORK_LATENCY: Duration = Duration::from_millis(1);

/// Delay until a gossip update reaches the other hosts.
const GOSSIP_DELAY: Duration = Duration::from_millis(100);

/// Delay until a change of the configuration or of an endpoint's state reaches all hosts. The
/// number of live hosts reaches them at once.
const PROPAGATION_DELAY: Duration = Duration::from_secs(1);

/// Interval between the load reports of an endpoint to a host.
const LOAD_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Age of a load report when the host reads it, without faults.
const LOAD_REPORT_AGE: Duration = Duration::from_millis(500);

/// Maximum time after the end of the scenario during which requests may still end.
const DRAIN_TIMEOUT: Duration = Duration::from_mins(15);

/// The results of a run.
#[derive(Debug)]
pub(crate) struct RunLog {
    /// Indexed by arrival.
    pub(crate) records: Vec<Record>,
    pub(crate) verdicts: Vec<VerdictNote>,
    /// Indexed by pool.
    pub(crate) pool_utilization: Vec<f64>,
}

/// A verdict of a host on a version.
#[derive(Clone, Copy, Debug)]
pub(crate) struct VerdictNote {
    pub(crate) at: Duration,
    pub(crate) version: VersionIdx,
    pub(crate) verdict: Verdict,
    /// The share of the version's responses that a fault made bad at the time of the verdict.
    pub(crate) degradation: f64,
}

pub(crate) struct Sim<'a> {
    now: Duration,
    truth: GroundTruth<'a>,
    arrivals: &'a [Arrival],
    router: Router<'a>,
    queue: Queue<Event>,
    endpoints: Vec<Endpoint>,
    /// Indexed by endpoint, the slot time used by finished attempts.
    busy: Vec<Duration>,
    attempts: BTreeMap<AttemptKey, Attempt>,
    records: Vec<Record>,
    /// Indexed by session.
    pins: Vec<Option<VersionIdx>>,
    configuration: Configuration,
    /// Indexed by [`VersionIdx`].
    withdrawn_at: [Option<Duration>; 4],
    rating_service: RatingService,
    hosts_up: Vec<bool>,
    verdicts: Vec<VerdictNote>,
    pending: usize,
}

impl<'a> Sim<'a> {
    /// Runs all arrivals under one router until each has ended, or until the drain time is over.
    pub(crate) fn run(
        kind: RouterKind,
        truth: GroundTruth<'a>,
        arrivals: &'a [Arrival],
        seed: u64,
    ) -> RunLog {
        let mut sim = Self::new(kind, truth, arrivals, seed);
        sim.schedule();
        while let Some((at, event)) = sim.queue.pop() {
            if sim.pending == 0 || at > truth.scenario.duration + DRAIN_TIMEOUT {
                break;
            }
            sim.now = at;
            sim.handle(event);
        }
        RunLog {
            pool_utilization: sim.pool_utilization(),
            records: sim.records,
            verdicts: sim.verdicts,
        }
    }

    fn new(kind: RouterKind, truth: GroundTruth<'a>, arrivals: &'a [Arrival], seed: u64) -> Self {
        let world = truth.world;
        let router = match kind {
            RouterKind::Core => Router::Core(Box::new(Core::new(world, seed))),
            other => Router::Baseline(Box::new(Baseline::new(other, truth))),
        };
        let pools = world.pools.iter();
        let replicas = pools.flat_map(|it| (0..it.replicas).map(|_| Endpoint::new(it)));
        let sessions = arrivals.iter().filter_map(|it| it.session);
        let sessions = sessions.map(|it| it + 1).max().unwrap_or(0);
        Self {
            now: Duration::ZERO,
            truth,
            arrivals,
            router,
            queue: Queue::new(),
            endpoints: replicas.collect(),
            busy: vec![Duration::ZERO; world.pools.iter().map(|it| it.replicas).sum()],
            attempts: BTreeMap::new(),
            records: vec![Record::default(); arrivals.len()],
            pins: vec![None; sessions],
            configuration: Configuration::new(),
            withdrawn_at: [None; 4],
            rating_service: RatingService::new(truth.keyed_rng),
            hosts_up: vec![true; world.hosts],
            verdicts: Vec::new(),
            pending: arrivals.len(),
        }
    }

    fn schedule(&mut self) {
        for (idx, it) in self.truth.scenario.events.iter().enumerate() {
            self.queue.push(it.at, Event::FaultBegins(idx));
            self.queue.push(it.until, Event::FaultEnds(idx));
        }
        for it in self.arrivals {
            let deadline = self.truth.world.class(it.class).deadline;
            self.queue.push(it.at, Event::Arrive(it.idx));
            self.queue
                .push(it.at + deadline, Event::CallerTimeout(it.idx));
        }
        for host in 0..self.hosts_up.len() {
            let phase = self.phase(host);
            self.queue
                .push(LOAD_REPORT_INTERVAL.mul_f64(phase), Event::Report { host });
            if let Some(tick) = self.router.tick() {
                self.queue.push(tick.mul_f64(phase), Event::Tick { host });
            }
        }
    }

    fn pool_utilization(&self) -> Vec<f64> {
        let length = self.truth.scenario.duration.as_secs_f64();
        let mut first = 0;
        let mut parts = Vec::new();
        for pool in &self.truth.world.pools {
            let slots = u32::try_from(pool.replicas * pool.slots).unwrap_or(u32::MAX);
            let busy = self.busy[first..first + pool.replicas]
                .iter()
                .sum::<Duration>();
            parts.push(busy.as_secs_f64() / f64::from(slots) / length);
            first += pool.replicas;
        }
        parts
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(idx) => self.arrive(idx),
            Event::CallerTimeout(idx) => self.caller_timeout(idx),
            Event::Submit(attempt) => self.submit(attempt),
            Event::FirstToken(attempt) => self.first_token(attempt),
            Event::Finish(attempt) => self.finish(attempt),
            Event::Ended(attempt, outcome) => self.ended(attempt, outcome),
            Event::Timeout(attempt) => self.time_out(attempt),
            Event::Report { host } => self.report(host),
            Event::Load {
                host,
                endpoint,
                load,
                age,
            } => {
                let input = Input::Load {
                    endpoint,
                    load,
                    age,
                };
                self.handle_input(host, &input);
            }
            Event::Endpoint {
                endpoint,
                incarnation,
                up,
            } => self.handle_input_at_all_hosts(&Input::Endpoint {
                endpoint,
                incarnation,
                up,
            }),
            Event::Rated(it) => {
                let class = self.arrivals[it.request].class;
                let input = Input::Rated {
                    request: it.request,
                    version: it.version,
                    class,
                    good: it.good,
                };
                self.handle_input(it.host, &input);
            }
            Event::Gossip { from, update } => {
                for host in (0..self.hosts_up.len()).filter(|it| *it != from) {
                    self.handle_input(host, &Input::Gossip(&update));
                }
            }
            Event::Configured(it) => self.handle_input_at_all_hosts(&Input::Configured(&it)),
            Event::FaultBegins(idx) => self.fault_begins(idx),
            Event::FaultEnds(idx) => self.fault_ends(idx),
            Event::Tick { host } => self.tick(host),
        }
    }

    /// Returns the phase of a host's periodic events, as a fraction of their period.
    ///
    /// If all hosts read load reports at the same time, the first host would always take the free
    /// slots before the others.
    fn phase(&self, host: usize) -> f64 {
        let [host, hosts] = [host, self.hosts_up.len()].map(|it| u32::try_from(it).unwrap_or(1));
        f64::from(host) / f64::from(hosts)
    }

    fn tick(&mut self, host: usize) {
        self.handle_input(host, &Input::Tick);
        if let Some(tick) = self.router.tick() {
            self.queue.push(self.now + tick, Event::Tick { host });
        }
    }

    /// Schedules the delivery of every live endpoint's load report to a host.
    fn report(&mut self, host: usize) {
        let stale = self.truth.scenario.active(self.now).find_map(|it| {
            if let Fault::LoadStale { by } = it.fault {
                Some(by)
            } else {
                None
            }
        });
        let age = LOAD_REPORT_AGE + stale.unwrap_or_default();
        for endpoint in 0..self.endpoints.len() {
            if self.endpoints[endpoint].up {
                let load = self.endpoints[endpoint].load();
                let event = Event::Load {
                    host,
                    endpoint,
                    load,
                    age,
                };
                self.queue.push(self.now + age, event);
            }
        }
        self.queue
            .push(self.now + LOAD_REPORT_INTERVAL, Event::Report { host });
    }

    fn handle_input_at_all_hosts(&mut self, input: &Input<'_>) {
        for host in 0..self.hosts_up.len() {
            self.handle_input(host, input);
        }
    }

    fn handle_input(&mut self, host: usize, input: &Input<'_>) {
        if !self.hosts_up[host] {
            return;
        }
        let mut outputs = Vec::new();
        self.router.handle(self.now, host, input, &mut outputs);
        for output in outputs {
            self.apply_output(host, output);
        }
    }

    fn apply_output(&mut self, host: usize, output: Output) {
        match output {
            Output::Dispatch {
                attempt,
                request,
                endpoint,
                version,
                priority,
                relay,
                timeout,
            } => {
                let it = Attempt::new(request, endpoint, version, priority, relay);
                self.dispatch(attempt, it, timeout);
            }
            Output::Deliver { request, attempt } => self.deliver(request, attempt),
            Output::Refuse { request, reason } => {
                self.close(request, RequestStatus::Failed(reason));
            }
            Output::Cancel { attempt } => self.cancel(attempt),
            Output::Sample { attempt } => self.sample(attempt),
            Output::Verdict { version, verdict } => self.verdicts.push(VerdictNote {
                at: self.now,
                version,
                verdict,
                degradation: self.truth.degradation(version, self.now).share,
            }),
            Output::Broadcast(update) => {
                let event = Event::Gossip { from: host, update };
                self.queue.push(self.now + GOSSIP_DELAY, event);
            }
            Output::RolloutStep {
                version,
                to,
                revision,
            } => {
                if self.configuration.apply_rollout_step(version, to, revision) {
                    self.publish();
                }
            }
        }
    }

    /// Schedules the delivery of the current configuration to all hosts.
    fn publish(&mut self) {
        let event = Event::Configured(Arc::new(self.configuration.clone()));
        self.queue.push(self.now + PROPAGATION_DELAY, event);
    }
}
