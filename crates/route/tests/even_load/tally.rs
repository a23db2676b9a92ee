//! What a simulation counts.

use std::fmt;
use std::time::Duration;

use crate::exchange::Exchange;
use crate::kind::Kind;
use crate::scenario::Scenario;

/// What a simulation counts.
#[derive(Clone, Debug)]
pub(crate) struct Tally {
    scenario: Scenario,
    pub(crate) requests: usize,
    /// Attempts sent to endpoints.
    pub(crate) attempts: usize,
    /// Attempts abandoned at silent endpoints.
    abandoned: usize,
    /// Refusals by endpoints, counted over the whole run.
    pub(crate) refused: usize,
    /// Requests for which the router chose no endpoint, counted over the whole run.
    pub(crate) unplaced: usize,
    /// Requests that were denied or whose caller got no event.
    pub(crate) failed: usize,
    /// Requests and late ones by kind.
    kinds: [(usize, usize); 3],
    /// Short requests that waited for others beyond their target.
    pub(crate) blocked: usize,
    /// Short requests that waited for others so long that a host abandons a silent attempt.
    pub(crate) delayed: usize,
    /// The time in which endpoints prefill, summed over endpoints.
    prefill: Duration,
    /// The time in which endpoints could prefill prompts that wait at others, summed over
    /// endpoints.
    idle: Duration,
    /// The seconds of prefill that each endpoint was sent, by second.
    work: Vec<Vec<f64>>,
    /// The times that requests waited at endpoints for others.
    waits: Vec<Duration>,
    now: Duration,
}

impl Tally {
    pub(crate) const HEADER: &str = "policy    customer  hosts  endp load age seed | requests \
        attempts silent refused unplaced failed | busy idle ratio | late% long short  tag | \
        delayed blocked | wait ms p50 p99";

    pub(crate) fn new(scenario: Scenario) -> Self {
        let seconds = usize::try_from(scenario.length.as_secs()).unwrap() + 1;
        Self {
            scenario,
            requests: 0,
            attempts: 0,
            refused: 0,
            unplaced: 0,
            failed: 0,
            kinds: [(0, 0); 3],
            blocked: 0,
            delayed: 0,
            abandoned: 0,
            prefill: Duration::ZERO,
            idle: Duration::ZERO,
            work: vec![vec![0.0; scenario.endpoints]; seconds],
            waits: Vec::new(),
            now: Duration::ZERO,
        }
    }

    /// Records the time until `now`, in which so many endpoints were prefilling, could prefill a
    /// prompt, and so many prompts were waiting.
    pub(crate) fn advance(&mut self, now: Duration, prefilling: u32, free: u32, waiting: u32) {
        let took = now.saturating_sub(self.now);
        if self.scenario.is_counted(self.now) {
            self.prefill += took * prefilling;
            self.idle += took * free.min(waiting);
        }
        self.now = now;
    }

    /// Records prefill that was sent to an endpoint.
    pub(crate) fn record_work(&mut self, endpoint: usize, seconds: f64) {
        let second = usize::try_from(self.now.as_secs()).unwrap();
        if self.scenario.is_counted(self.now) {
            self.work[second][endpoint] += seconds;
        }
    }

    /// Records a complete exchange.
    pub(crate) fn record(&mut self, exchange: &Exchange) {
        if !self.scenario.is_counted(exchange.request.arrived) {
            return;
        }
        let kind = exchange.request.demand.kind;
        self.requests += 1;
        self.attempts += exchange.sent as usize;
        self.failed += usize::from(exchange.latency.is_none());
        let (count, late) = &mut self.kinds[kind as usize];
        *count += 1;
        *late += usize::from(exchange.is_late());
        self.abandoned += exchange.abandoned as usize;
        self.delayed += usize::from(kind == Kind::Short && exchange.is_delayed());
        self.blocked += usize::from(kind == Kind::Short && exchange.is_blocked());
        self.waits.push(exchange.waited);
    }

    /// Returns the number of a kind's requests whose first event was late.
    pub(crate) fn late(&self, kind: Kind) -> usize {
        self.kinds[kind as usize].1
    }

    /// Returns the mean over seconds of the work of the busiest endpoint relative to the mean.
    pub(crate) fn imbalance(&self) -> f64 {
        let of = |it: &Vec<f64>| {
            let mean = it.iter().sum::<f64>() / to_f64(it.len());
            let most = it.iter().copied().fold(0.0, f64::max);
            (mean > 0.0).then(|| most / mean)
        };
        let ratios: Vec<f64> = self.work.iter().filter_map(of).collect();
        ratios.iter().sum::<f64>() / to_f64(ratios.len())
    }

    /// Returns the fraction of the endpoints' time.
    fn share(&self, time: Duration) -> f64 {
        time.div_duration_f64(self.scenario.counted()) / to_f64(self.scenario.endpoints)
    }

    fn wait(&self, percent: usize) -> u128 {
        let mut waits = self.waits.clone();
        waits.sort_unstable();
        let idx = waits.len() * percent / 100;
        waits.get(idx).map_or(0, Duration::as_millis)
    }
}

impl fmt::Display for Tally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [long, short, tag] = self.kinds.map(|(count, late)| 100.0 * ratio(late, count));
        write!(
            f,
            "{} | {:8} {:8} {:6}",
            self.scenario, self.requests, self.attempts, self.abandoned
        )?;
        write!(
            f,
            " {:7} {:8} {:6} |",
            self.refused, self.unplaced, self.failed
        )?;
        write!(
            f,
            " {:4.2} {:4.2}",
            self.share(self.prefill),
            self.share(self.idle)
        )?;
        write!(f, " {:5.1} | {long:10.2} {short:5.2}", self.imbalance())?;
        write!(f, " {tag:4.1} | {:7} {:7}", self.delayed, self.blocked)?;
        write!(f, " | {:11} {:4}", self.wait(50), self.wait(99))
    }
}

fn ratio(part: usize, whole: usize) -> f64 {
    to_f64(part) / to_f64(whole.max(1))
}

fn to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap())
}
