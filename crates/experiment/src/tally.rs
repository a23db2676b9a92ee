//! Aggregates the records of runs into figures.

mod bound;
mod class;

use std::{collections::BTreeMap, time::Duration};

use decide::action::Verdict;

pub(crate) use bound::clairvoyant_cost;

use self::class::ClassTally;
use crate::{
    arrival::Arrival,
    record::{PinStatus, Record, RequestStatus},
    report::{CustomerFigures, Figures, Quarantine},
    router::RouterKind,
    scenario::{Fault, Scenario},
    sim::{RunLog, VerdictNote},
    workload::World,
};

/// The counts of one router over all seeds.
///
/// Counts only requests that overlap the measurement window, see [`window`].
pub(crate) struct Tally<'a> {
    kind: RouterKind,
    world: &'a World,
    window: [Duration; 2],
    classes: Vec<ClassTally>,
    /// By customer: model requests offered and delivered.
    customers: Vec<[u64; 2]>,
    refusals: BTreeMap<&'static str, u64>,
    /// Harmed requests without and with a pin to a version.
    harmed: [u64; 2],
    /// By quarter of the window, the cost of the requests that this router and the oracle both
    /// delivered: this router's and the oracle's.
    quarters: [[u64; 2]; 4],
    affected: u64,
    moved: u64,
    reruns: u64,
    sent_to_withdrawn: u64,
    unfinished: u64,
    requests_with_attempts: u64,
    attempts: u64,
    /// The distinct versions tried, at least one for each request with an attempt.
    steps: u64,
    bound: f64,
    seeds: u32,
    pool_utilization: Vec<f64>,
    quarantine: Quarantine,
}

impl<'a> Tally<'a> {
    pub(crate) fn new(kind: RouterKind, world: &'a World, scenario: &Scenario) -> Self {
        Self {
            kind,
            world,
            window: window(scenario),
            classes: world.classes.iter().map(|_| ClassTally::new()).collect(),
            customers: vec![[0; 2]; world.customers.len()],
            refusals: BTreeMap::new(),
            harmed: [0; 2],
            quarters: [[0; 2]; 4],
            affected: 0,
            moved: 0,
            reruns: 0,
            sent_to_withdrawn: 0,
            unfinished: 0,
            requests_with_attempts: 0,
            attempts: 0,
            steps: 0,
            bound: 0.0,
            seeds: 0,
            pool_utilization: vec![0.0; world.pools.len()],
            quarantine: Quarantine::default(),
        }
    }

    /// Adds a run. `oracle` is the oracle's run over the same arrivals.
    pub(crate) fn add(&mut self, arrivals: &[Arrival], log: &RunLog, oracle: &RunLog, bound: f64) {
        self.seeds += 1;
        self.bound += bound;
        for (arrival, record) in arrivals.iter().zip(&log.records) {
            let ended_before_window =
                record.status != RequestStatus::Pending && record.ended_at < self.window[0];
            if !ended_before_window && arrival.at < self.window[1] {
                self.add_request(arrival, record, &oracle.records[arrival.idx]);
            }
        }
        self.add_verdicts(&log.verdicts);
        for (sum, part) in self.pool_utilization.iter_mut().zip(&log.pool_utilization) {
            *sum += part;
        }
    }

    fn add_request(&mut self, arrival: &Arrival, record: &Record, oracle: &Record) {
        self.classes[arrival.class.idx()].add(arrival, record, oracle);
        if self.world.class(arrival.class).is_model() {
            let [offered, served] = &mut self.customers[arrival.customer];
            *offered += 1;
            *served += u64::from(record.delivered());
        }
        match record.status {
            RequestStatus::Failed(reason) => *self.refusals.entry(reason).or_default() += 1,
            RequestStatus::Pending => self.unfinished += 1,
            RequestStatus::Delivered(_) => {}
        }
        let harmed = record.response().is_some_and(|(_, it)| it.harmed);
        self.harmed[usize::from(record.pin_status != PinStatus::Unpinned)] += u64::from(harmed);
        if record.delivered() && oracle.delivered() {
            let [own_cost, oracle_cost] = &mut self.quarters[self.quarter(arrival.at)];
            *own_cost += record.cost;
            *oracle_cost += oracle.cost;
        }
        self.affected += u64::from(record.affected);
        self.moved += u64::from(record.pin_status == PinStatus::Moved);
        let at_most_once = !self.world.class(arrival.class).idempotent;
        self.reruns += u64::from(at_most_once && record.runs > 1);
        self.sent_to_withdrawn += u64::from(record.withdrawn);
        if record.dispatches > 0 {
            self.requests_with_attempts += 1;
            self.attempts += u64::from(record.dispatches);
            self.steps += u64::try_from(record.tried.len().max(1)).unwrap_or(1);
        }
    }

    fn quarter(&self, at: Duration) -> usize {
        let [begin, end] = self.window;
        let length = end.saturating_sub(begin) / 4;
        (1..4).take_while(|it| at >= begin + length * *it).count()
    }

    fn add_verdicts(&mut self, verdicts: &[VerdictNote]) {
        let mut first = None;
        for it in verdicts {
            match it.verdict {
                Verdict::Healthy => self.quarantine.lifted += 1,
                Verdict::Quarantined(_) if it.degradation > 0.0 => {
                    self.quarantine.right += 1;
                    first = first.or(Some(it.at));
                }
                Verdict::Quarantined(cause) => {
                    self.quarantine.wrong += 1;
                    let key = format!("{} {cause:?}", it.version.name());
                    *self.quarantine.wrong_causes.entry(key).or_default() += 1;
                }
            }
        }
        if let Some(first) = first {
            let after = first.saturating_sub(self.window[0]).as_secs_f64();
            self.quarantine.first_after_s.push(after);
        }
    }

    pub(crate) fn finish(self) -> Figures {
        let classes = self
            .classes
            .iter()
            .zip(&self.world.classes)
            .map(|(it, class)| it.figures(class))
            .collect::<Vec<_>>();
        let sum = |part: fn(&ClassTally) -> u64| self.classes.iter().map(part).sum::<u64>();
        let models = || {
            let all = self.classes.iter().zip(&self.world.classes);
            all.filter(|(_, class)| class.is_model()).map(|(it, _)| it)
        };
        let delivered_models = models().map(|it| it.delivered).sum::<u64>();
        let seeds = f64::from(self.seeds.max(1));
        Figures {
            router: self.kind,
            requests: sum(|it| it.offered),
            delivered: sum(|it| it.delivered),
            mean_cost: ratio(models().map(|it| it.cost).sum(), delivered_models),
            cost_to_oracle: ratio(
                models().map(|it| it.paired[0]).sum(),
                models().map(|it| it.paired[1]).sum(),
            ),
            cost_to_clairvoyant: float(models().map(|it| it.cost).sum()) / self.bound,
            good: ratio(models().map(|it| it.good).sum(), delivered_models),
            cost_to_oracle_by_quarter: self
                .quarters
                .map(|[own_cost, oracle_cost]| ratio(own_cost, oracle_cost)),
            harmed: float(self.harmed.iter().sum()) / seeds,
            harmed_pinned: float(self.harmed[1]) / seeds,
            affected: float(self.affected) / seeds,
            quarantine: self.quarantine,
            pool_utilization: self.pool_utilization.iter().map(|it| it / seeds).collect(),
            attempts_per_step: 1.0 + ratio(self.attempts - self.steps, self.requests_with_attempts),
            dispatches: ratio(self.attempts, self.requests_with_attempts),
            moved_sessions: self.moved,
            reruns: self.reruns,
            sent_to_withdrawn: self.sent_to_withdrawn,
            unfinished: self.unfinished,
            refusals: self.refusals,
            customers: self
                .customers
                .iter()
                .zip(&self.world.customers)
                .map(|([offered, served], it)| CustomerFigures {
                    customer: it.name.to_owned(),
                    offered: *offered,
                    share: ratio(*served, *offered),
                })
                .collect(),
            classes,
        }
    }
}

/// Returns the start and end of the measurement window: the time of the scenario's faults, or the
/// whole scenario if it has none.
fn window(scenario: &Scenario) -> [Duration; 2] {
    let events = &scenario.events;
    // Other faults of a flood scenario only prepare the load that the flood meets.
    let flood = events
        .iter()
        .find(|it| matches!(it.fault, Fault::Flood { .. }));
    if let Some(it) = flood {
        return [it.at, it.until];
    }
    let begin = events.iter().map(|it| it.at).min();
    let end = events.iter().map(|it| it.until).max();
    [
        begin.unwrap_or(Duration::ZERO),
        end.unwrap_or(scenario.duration),
    ]
}

pub(crate) fn ratio(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        return 0.0;
    }
    float(part) / float(whole)
}

/// Converts a count to a float; exact below 2^53.
pub(crate) fn float(number: u64) -> f64 {
    let high = u32::try_from(number >> 32).unwrap_or(u32::MAX);
    let low = u32::try_from(number & u64::from(u32::MAX)).unwrap_or(u32::MAX);
    f64::from(high) * 4_294_967_296.0 + f64::from(low)
}
