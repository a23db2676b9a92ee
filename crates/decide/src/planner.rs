//! Finds the cheapest plan that meets a quality target.

use crate::evidence::BUCKETS;
use crate::forecast::Forecast;
use crate::number::floor;
use crate::plan::{Plan, Step};

/// Limits how many versions are combined into plans of several steps. Combining more isn't worth
/// the time it takes.
const MAX_COMBINED_VERSIONS: usize = 7;
/// Intervals of quality; the cheapest plan of each is kept.
const QUALITY_INTERVALS: usize = 128;
/// Standard errors subtracted from the expected quality of a plan of one step.
const SINGLE_STEP_MARGIN: f64 = 0.35;
/// Standard errors subtracted for plans of several steps. The margin is larger
/// because the best of many combinations is often the most overestimated one.
const MULTI_STEP_MARGIN: f64 = 0.6;

/// One plan, or a random mix of two plans whose average quality is just the
/// target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Mix {
    /// The cheaper plan.
    pub(crate) cheap: Plan,
    /// The plan of higher quality.
    pub(crate) good: Plan,
    /// The share of requests (0 to 1) that use the cheaper plan.
    pub(crate) share: f64,
    /// The expected cost in microcents.
    pub(crate) cost: f64,
    /// The expected share of good responses, less the margin for uncertainty.
    pub(crate) quality: f64,
}

/// The constraints on a plan.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Goal {
    /// The share of responses that must be good.
    pub(crate) target: f64,
    /// The maximum expected cost of a request in microcents.
    pub(crate) cap: f64,
    /// The maximum number of steps.
    pub(crate) steps: usize,
    /// The share of requests that continue a session. They use, in a single step, the
    /// version whose response to the session's first request was accepted.
    pub(crate) pinned_share: f64,
}

#[derive(Clone, Copy, Debug)]
struct Candidate {
    plan: Plan,
    cost: f64,
    quality: f64,
}

/// Returns the cheapest mix of plans found that meets the goal. If none does, returns
/// a plan within the cost cap whose quality is in the highest interval that such plans
/// reach, or the cheapest plan if all exceed the cap. Returns `None` if there is no
/// version.
pub(crate) fn find_cheapest_mix(forecasts: &[Forecast], goal: &Goal) -> Option<Mix> {
    let mut candidates = Candidates::new(goal);
    for it in forecasts {
        candidates.add(single_step(it));
    }
    let useful = frontier(forecasts);
    if goal.steps >= 2 {
        add_pairs(&useful, &mut candidates);
    }
    if goal.steps >= 3 {
        add_triples(&useful, &mut candidates);
    }
    candidates.mix()
}

/// Returns the versions whose quality plus one standard error exceeds the quality of
/// every cheaper version, at most [`MAX_COMBINED_VERSIONS`], in order of cost.
fn frontier(forecasts: &[Forecast]) -> Vec<Forecast> {
    let mut sorted = forecasts.to_vec();
    sorted.sort_by(|a, b| a.cost.total_cmp(&b.cost));
    let mut best = 0.0;
    sorted.retain(|it| {
        let keep = it.quality() + it.error() > best;
        best = f64::max(best, it.quality());
        keep
    });
    if sorted.len() > MAX_COMBINED_VERSIONS {
        // Keeps the cheapest and the most expensive; those in between rarely combine well.
        let expensive = sorted.split_off(sorted.len() - MAX_COMBINED_VERSIONS / 2);
        sorted.truncate(MAX_COMBINED_VERSIONS - expensive.len());
        sorted.extend(expensive);
    }
    sorted
}

fn single_step(it: &Forecast) -> Candidate {
    Candidate {
        plan: Plan::new(&[Step::last(it.version)]),
        cost: it.cost,
        quality: it.quality() - SINGLE_STEP_MARGIN * it.error(),
    }
}

fn add_pairs(useful: &[Forecast], candidates: &mut Candidates) {
    for (at, first) in useful.iter().enumerate() {
        for second in &useful[at + 1..] {
            for threshold in 1..BUCKETS {
                add_pair([first, second], threshold, candidates);
            }
        }
    }
}

fn add_pair(versions: [&Forecast; 2], threshold: usize, candidates: &mut Candidates) {
    let [first, second] = versions;
    let pass = first.first.pass[threshold];
    let escalated = 1.0 - pass;
    let expected = Expectation {
        cost: first.cost + escalated * second.cost,
        quality: first.first.good[threshold] + escalated * second.later.good[0],
        variance: first.first.variance[threshold]
            + escalated * escalated * second.later.variance[0],
    };
    let accepted = [(first, pass), (second, escalated)];
    candidates.add_if_cheaper(
        expected.with_sessions(&accepted, candidates.goal.pinned_share),
        || Plan::new(&[checked_step(first, threshold), Step::last(second.version)]),
    );
}

fn add_triples(useful: &[Forecast], candidates: &mut Candidates) {
    for (at, first) in useful.iter().enumerate() {
        for (second_at, second) in useful.iter().enumerate().skip(at + 1) {
            for third in &useful[second_at + 1..] {
                for first_threshold in 1..BUCKETS {
                    for second_threshold in 1..BUCKETS {
                        add_triple(
                            [first, second, third],
                            [first_threshold, second_threshold],
                            candidates,
                        );
                    }
                }
            }
        }
    }
}

fn add_triple(versions: [&Forecast; 3], thresholds: [usize; 2], candidates: &mut Candidates) {
    let [first, second, third] = versions;
    let [first_threshold, second_threshold] = thresholds;
    let pass = first.first.pass[first_threshold];
    let escalated = 1.0 - pass;
    let second_pass = escalated * second.later.pass[second_threshold];
    let escalated_twice = escalated - second_pass;
    let expected = Expectation {
        cost: first.cost + escalated * second.cost + escalated_twice * third.cost,
        quality: first.first.good[first_threshold]
            + escalated * second.later.good[second_threshold]
            + escalated_twice * third.later.good[0],
        variance: first.first.variance[first_threshold]
            + escalated * escalated * second.later.variance[second_threshold]
            + escalated_twice * escalated_twice * third.later.variance[0],
    };
    let accepted = [
        (first, pass),
        (second, second_pass),
        (third, escalated_twice),
    ];
    candidates.add_if_cheaper(
        expected.with_sessions(&accepted, candidates.goal.pinned_share),
        || {
            let last = Step::last(third.version);
            Plan::new(&[
                checked_step(first, first_threshold),
                checked_step(second, second_threshold),
                last,
            ])
        },
    );
}

fn checked_step(it: &Forecast, threshold: usize) -> Step {
    Step {
        version: it.version,
        threshold,
    }
}

/// The expected cost and quality of a plan.
#[derive(Clone, Copy, Debug)]
struct Expectation {
    cost: f64,
    quality: f64,
    variance: f64,
}

impl Expectation {
    /// Includes the later requests of the sessions that the plan starts. They use, in a
    /// single step, the version whose response to the session's first request was
    /// accepted. `accepted` lists the versions with the share of requests for which
    /// each one's response is accepted; `pinned_share` is the share of later
    /// requests.
    fn with_sessions(self, accepted: &[(&Forecast, f64)], pinned_share: f64) -> Self {
        let free = 1.0 - pinned_share;
        let mut it = Self {
            cost: free * self.cost,
            quality: free * self.quality,
            variance: free * free * self.variance,
        };
        for (version, share) in accepted {
            let share = pinned_share * share;
            it.cost += share * version.cost;
            it.quality += share * version.quality();
            it.variance += share * share * version.first.variance[0];
        }
        it
    }
}

/// The cheapest plan for each interval of quality.
struct Candidates {
    goal: Goal,
    cheapest_by_quality: [Option<Candidate>; QUALITY_INTERVALS],
    best: Option<Candidate>,
    cheapest: Option<Candidate>,
}

impl Candidates {
    fn new(goal: &Goal) -> Self {
        Self {
            goal: *goal,
            cheapest_by_quality: [None; QUALITY_INTERVALS],
            best: None,
            cheapest: None,
        }
    }

    fn add_if_cheaper(&mut self, expected: Expectation, plan: impl FnOnce() -> Plan) {
        let cost = expected.cost;
        let quality = expected.quality - MULTI_STEP_MARGIN * expected.variance.sqrt();
        let interval = quality_interval(quality);
        if self.cheapest_by_quality[interval].is_none_or(|it| cost < it.cost) {
            let plan = plan();
            self.add(Candidate {
                plan,
                cost,
                quality,
            });
        }
    }

    fn add(&mut self, candidate: Candidate) {
        if self.cheapest.is_none_or(|it| candidate.cost < it.cost) {
            self.cheapest = Some(candidate);
        }
        if candidate.cost > self.goal.cap {
            return;
        }
        if self.best.is_none_or(|it| candidate.quality > it.quality) {
            self.best = Some(candidate);
        }
        let interval = &mut self.cheapest_by_quality[quality_interval(candidate.quality)];
        if interval.is_none_or(|it| candidate.cost < it.cost) {
            *interval = Some(candidate);
        }
    }

    fn mix(&self) -> Option<Mix> {
        let best = self.best.or(self.cheapest)?;
        let candidates = || self.cheapest_by_quality.iter().flatten();
        let target = self.goal.target;
        let enough = candidates().filter(|it| it.quality >= target);
        let Some(cheapest) = enough.clone().min_by(|a, b| a.cost.total_cmp(&b.cost)) else {
            return Some(Mix::single(&best));
        };
        let mut mix = Mix::single(cheapest);
        for good in enough {
            for cheap in candidates().filter(|it| it.quality < target && it.cost < good.cost) {
                let share = (good.quality - target) / (good.quality - cheap.quality);
                let cost = share * cheap.cost + (1.0 - share) * good.cost;
                if cost < mix.cost {
                    mix = Mix {
                        cheap: cheap.plan,
                        good: good.plan,
                        share,
                        cost,
                        quality: target,
                    };
                }
            }
        }
        Some(mix)
    }
}

impl Mix {
    fn single(candidate: &Candidate) -> Self {
        Self {
            cheap: candidate.plan,
            good: candidate.plan,
            share: 0.0,
            cost: candidate.cost,
            quality: candidate.quality,
        }
    }
}

/// Returns the interval of a quality. Intervals are narrower towards 1, where
/// most targets are.
fn quality_interval(quality: f64) -> usize {
    const SCALE: [f64; 4] = [0.0, 0.5, 0.8, 1.0];
    let bands = [16.0, 48.0, 63.0];
    let quality = quality.clamp(0.0, 1.0);
    let mut start = 0.0;
    for (band, width) in SCALE.windows(2).zip(bands) {
        if quality <= band[1] {
            let at = start + (quality - band[0]) / (band[1] - band[0]) * width;
            return usize::try_from(floor(at)).unwrap_or(0);
        }
        start += width;
    }
    QUALITY_INTERVALS - 1
}
