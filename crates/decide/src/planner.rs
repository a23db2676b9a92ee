//! Finds the cheapest plan that meets a quality target.

use crate::evidence::BUCKETS;
use crate::forecast::Forecast;
use crate::number::floor;
use crate::plan::{Plan, Step};

/// Limits how many versions are combined into plans of several steps.
const COMBINED: usize = 7;
/// Intervals of quality; the cheapest plan of each is kept.
const PLACES: usize = 128;
/// Standard errors subtracted from the expected quality of a plan of one step.
const DOUBT: f64 = 0.35;
/// Standard errors subtracted for plans of several steps. The margin is larger
/// because the best of many combinations is often the most overestimated one.
const CHOICE_DOUBT: f64 = 0.6;

/// A random mix of two plans whose average quality meets the target without
/// exceeding it.
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
    /// The share of requests that continue a session. They use the version that
    /// answered the session's first request, in a single step.
    pub(crate) pinned: f64,
}

#[derive(Clone, Copy, Debug)]
struct Offer {
    plan: Plan,
    cost: f64,
    quality: f64,
}

/// Returns the cheapest mix of plans that meets the goal, or the plan of highest
/// quality within the cost cap if none does. Returns `None` if there is no version.
pub(crate) fn plan(forecasts: &[Forecast], goal: &Goal) -> Option<Mix> {
    let mut offers = Offers::new(goal);
    for it in forecasts {
        offers.add(single(it));
    }
    let useful = frontier(forecasts);
    if goal.steps >= 2 {
        pairs(&useful, &mut offers);
    }
    if goal.steps >= 3 {
        triples(&useful, &mut offers);
    }
    offers.mix()
}

/// Returns the versions whose quality plus one standard error exceeds that of
/// every cheaper version, in order of cost.
fn frontier(forecasts: &[Forecast]) -> Vec<Forecast> {
    let mut sorted = forecasts.to_vec();
    sorted.sort_by(|a, b| a.cost.total_cmp(&b.cost));
    let mut best = 0.0;
    sorted.retain(|it| {
        let keep = it.quality() + it.error() > best;
        best = f64::max(best, it.quality());
        keep
    });
    if sorted.len() > COMBINED {
        // Keeps the cheapest and the best; those in between rarely combine well.
        let best = sorted.split_off(sorted.len() - COMBINED / 2);
        sorted.truncate(COMBINED - best.len());
        sorted.extend(best);
    }
    sorted
}

fn single(it: &Forecast) -> Offer {
    Offer {
        plan: Plan::of(&[Step::last(it.version)]),
        cost: it.cost,
        quality: it.quality() - DOUBT * it.error(),
    }
}

fn pairs(useful: &[Forecast], offers: &mut Offers) {
    for (at, first) in useful.iter().enumerate() {
        for second in &useful[at + 1..] {
            for threshold in 1..BUCKETS {
                pair([first, second], threshold, offers);
            }
        }
    }
}

fn pair(versions: [&Forecast; 2], threshold: usize, offers: &mut Offers) {
    let [first, second] = versions;
    let pass = first.first.pass[threshold];
    let left = 1.0 - pass;
    let sum = Sum {
        cost: first.cost + left * second.cost,
        quality: first.first.good[threshold] + left * second.later.good[0],
        variance: first.first.variance[threshold] + left * left * second.later.variance[0],
    };
    let ends = [(first, pass), (second, left)];
    offers.add_if(sum.with_sessions(&ends, offers.goal.pinned), || {
        Plan::of(&[step(first, threshold), Step::last(second.version)])
    });
}

fn triples(useful: &[Forecast], offers: &mut Offers) {
    for (at, first) in useful.iter().enumerate() {
        for (then, second) in useful.iter().enumerate().skip(at + 1) {
            for third in &useful[then + 1..] {
                for one in 1..BUCKETS {
                    for two in 1..BUCKETS {
                        triple([first, second, third], [one, two], offers);
                    }
                }
            }
        }
    }
}

fn triple(versions: [&Forecast; 3], thresholds: [usize; 2], offers: &mut Offers) {
    let [first, second, third] = versions;
    let [one, two] = thresholds;
    let pass = first.first.pass[one];
    let left = 1.0 - pass;
    let then = left * second.later.pass[two];
    let rest = left - then;
    let sum = Sum {
        cost: first.cost + left * second.cost + rest * third.cost,
        quality: first.first.good[one] + left * second.later.good[two] + rest * third.later.good[0],
        variance: first.first.variance[one]
            + left * left * second.later.variance[two]
            + rest * rest * third.later.variance[0],
    };
    let ends = [(first, pass), (second, then), (third, rest)];
    offers.add_if(sum.with_sessions(&ends, offers.goal.pinned), || {
        let last = Step::last(third.version);
        Plan::of(&[step(first, one), step(second, two), last])
    });
}

fn step(it: &Forecast, threshold: usize) -> Step {
    Step {
        version: it.version,
        threshold,
    }
}

/// The expected cost and quality of a plan.
#[derive(Clone, Copy, Debug)]
struct Sum {
    cost: f64,
    quality: f64,
    variance: f64,
}

impl Sum {
    /// Includes the later requests of the sessions that the plan starts, which use
    /// the version that answered first, in a single step. `ends` lists the
    /// versions with the share of requests for which each one's response is
    /// accepted; `pinned` is the share of later requests.
    fn with_sessions(self, ends: &[(&Forecast, f64)], pinned: f64) -> Self {
        let free = 1.0 - pinned;
        let mut it = Self {
            cost: free * self.cost,
            quality: free * self.quality,
            variance: free * free * self.variance,
        };
        for (version, share) in ends {
            let share = pinned * share;
            it.cost += share * version.cost;
            it.quality += share * version.quality();
            it.variance += share * share * version.first.variance[0];
        }
        it
    }
}

/// The cheapest plan for each interval of quality.
struct Offers {
    goal: Goal,
    places: [Option<Offer>; PLACES],
    best: Option<Offer>,
    cheapest: Option<Offer>,
}

impl Offers {
    fn new(goal: &Goal) -> Self {
        Self {
            goal: *goal,
            places: [None; PLACES],
            best: None,
            cheapest: None,
        }
    }

    fn add_if(&mut self, sum: Sum, plan: impl FnOnce() -> Plan) {
        let cost = sum.cost;
        let quality = sum.quality - CHOICE_DOUBT * sum.variance.sqrt();
        let place = place(quality);
        if self.places[place].is_none_or(|it| cost < it.cost) {
            let plan = plan();
            self.add(Offer {
                plan,
                cost,
                quality,
            });
        }
    }

    fn add(&mut self, offer: Offer) {
        if self.cheapest.is_none_or(|it| offer.cost < it.cost) {
            self.cheapest = Some(offer);
        }
        if offer.cost > self.goal.cap {
            return;
        }
        if self.best.is_none_or(|it| offer.quality > it.quality) {
            self.best = Some(offer);
        }
        let place = &mut self.places[place(offer.quality)];
        if place.is_none_or(|it| offer.cost < it.cost) {
            *place = Some(offer);
        }
    }

    fn mix(&self) -> Option<Mix> {
        let best = self.best.or(self.cheapest)?;
        let offers = || self.places.iter().flatten();
        let target = self.goal.target;
        let enough = offers().filter(|it| it.quality >= target);
        let Some(one) = enough.clone().min_by(|a, b| a.cost.total_cmp(&b.cost)) else {
            return Some(Mix::one(&best));
        };
        let mut mix = Mix::one(one);
        for good in enough {
            for cheap in offers().filter(|it| it.quality < target && it.cost < good.cost) {
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
    fn one(offer: &Offer) -> Self {
        Self {
            cheap: offer.plan,
            good: offer.plan,
            share: 0.0,
            cost: offer.cost,
            quality: offer.quality,
        }
    }
}

/// Returns the interval of a quality. Intervals are narrower towards 1, where
/// most targets are.
fn place(quality: f64) -> usize {
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
    PLACES - 1
}
