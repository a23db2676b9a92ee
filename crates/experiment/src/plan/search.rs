use super::{Choice, Node, Problem};

/// Number of bisection steps in the search for the price of a good response.
const SEARCH_STEPS: u32 = 24;

/// Maximum versions that a plan tries for a request.
const MAX_TRIED: usize = 4;

/// A mixture of two plans, of which the second is used for a share of the requests.
#[derive(Clone, Debug)]
pub struct Plan {
    pub(crate) nodes: [Node; 2],
    /// The share of requests that follow the second plan.
    pub(crate) mix: f64,
    /// The expected cost of a request.
    pub cost: f64,
    /// The expected share of good responses.
    pub good: f64,
}

/// A subtree of a plan with its expected cost and good responses, weighted by the probability of
/// reaching it.
#[derive(Clone, Debug)]
struct Outcome {
    cost: f64,
    good: f64,
    node: Node,
}

/// The belief about a request after some versions have been tried.
#[derive(Clone, Copy, Debug)]
struct Belief {
    /// The joint probability of the observations with an easy and with a hard request.
    weight: [f64; 2],
    /// For each response, the probability that it is good, for easy and hard requests.
    responses: [[f64; 2]; MAX_TRIED],
    /// The choice that returned each response.
    tried: [usize; MAX_TRIED],
    /// The number of responses.
    len: usize,
}

impl Plan {
    /// Returns the plan of least cost whose expected share of good responses is at least `target`,
    /// or the plan with the highest share if the target can't be reached.
    #[must_use]
    pub fn solve(problem: &Problem, target: f64) -> Self {
        let turns = 1.0 + problem.following_turns;
        Self::solve_turns(problem, target * turns).per_turn(turns)
    }

    /// Like [`Self::solve`], with the target, cost and good responses summed over all turns.
    fn solve_turns(problem: &Problem, target: f64) -> Self {
        let max_cost = problem.choices.iter().map(|it| it.cost).fold(0.0, f64::max);
        let mut low = (0.0, optimize(problem, 0.0));
        if low.1.good >= target {
            return Self::single(low.1);
        }
        let price = max_cost * 1.0e4;
        let mut high = (price, optimize(problem, price));
        if high.1.good <= target {
            return Self::single(high.1);
        }
        for _ in 0..SEARCH_STEPS {
            let price = price_between(low.0, high.0, max_cost);
            let outcome = optimize(problem, price);
            if outcome.good < target {
                low = (price, outcome);
            } else {
                high = (price, outcome);
            }
        }
        Self::mixed(low.1, high.1, target)
    }

    fn per_turn(self, turns: f64) -> Self {
        Self {
            cost: self.cost / turns,
            good: self.good / turns,
            ..self
        }
    }

    fn single(outcome: Outcome) -> Self {
        Self {
            nodes: [outcome.node.clone(), outcome.node],
            mix: 0.0,
            cost: outcome.cost,
            good: outcome.good,
        }
    }

    fn mixed(low: Outcome, high: Outcome, target: f64) -> Self {
        let gap = high.good - low.good;
        if gap < 1.0e-9 {
            return Self::single(high);
        }
        let mix = (target - low.good) / gap;
        Self {
            mix,
            cost: low.cost + mix * (high.cost - low.cost),
            good: target,
            nodes: [low.node, high.node],
        }
    }
}

/// Returns a price between two prices: their geometric mean if both are positive.
fn price_between(low: f64, high: f64, max_cost: f64) -> f64 {
    if low > 0.0 {
        (low * high).sqrt()
    } else {
        (max_cost * 1.0e-3).min(high / 2.0)
    }
}

fn optimize(problem: &Problem, price: f64) -> Outcome {
    let start = Belief {
        weight: [1.0 - problem.hard, problem.hard],
        responses: [[0.0; 2]; MAX_TRIED],
        tried: [0; MAX_TRIED],
        len: 0,
    };
    best_outcome(problem, price, &start)
}

/// Returns the subtree with the lowest objective for a belief. Its cost and good responses are
/// weighted by the probability of the belief.
fn best_outcome(problem: &Problem, price: f64, belief: &Belief) -> Outcome {
    let mut best = deliver(problem, price, belief);
    if belief.len == problem.depth.min(MAX_TRIED) {
        return best.expect("depth is at least one, so there is a response");
    }
    let weight = belief.weight[0] + belief.weight[1];
    for idx in 0..problem.choices.len() {
        let pruned = |it: &Outcome| cannot_improve(problem, it, idx, weight, price);
        if belief.tried[..belief.len].contains(&idx) || best.as_ref().is_some_and(pruned) {
            continue;
        }
        let outcome = try_choice(problem, price, belief, idx);
        if best
            .as_ref()
            .is_none_or(|it| objective(&outcome, price) < objective(it, price))
        {
            best = Some(outcome);
        }
    }
    best.expect("a problem has at least one choice")
}

/// Returns whether trying the choice can't improve on `best`, even if it costs only the choice
/// itself and all responses of this turn and the following ones are good.
fn cannot_improve(problem: &Problem, best: &Outcome, idx: usize, weight: f64, price: f64) -> bool {
    let gain = price * (1.0 + problem.following_turns);
    (problem.choices[idx].cost - gain) * weight >= objective(best, price)
}

/// Returns the cost minus `price` times the good responses (the Lagrangian). Lower is better.
fn objective(outcome: &Outcome, price: f64) -> f64 {
    outcome.cost - price * outcome.good
}

/// Returns the best outcome of delivering one of the responses so far, including the following
/// turns; `None` before the first response.
fn deliver(problem: &Problem, price: f64, belief: &Belief) -> Option<Outcome> {
    let weight = belief.weight[0] + belief.weight[1];
    let outcomes = (0..belief.len).map(|position| {
        let response = belief.responses[position];
        let choice = belief.tried[position];
        let good = response[0] * belief.weight[0] + response[1] * belief.weight[1];
        Outcome {
            cost: weight * problem.following_turns * problem.choices[choice].cost,
            good: good + weight * problem.following_turns * problem.quality(choice),
            node: Node::Deliver(position),
        }
    });
    outcomes.min_by(|a, b| objective(a, price).total_cmp(&objective(b, price)))
}

fn try_choice(problem: &Problem, price: f64, belief: &Belief, idx: usize) -> Outcome {
    let choice = &problem.choices[idx];
    let mut total = Outcome {
        cost: choice.cost * (belief.weight[0] + belief.weight[1]),
        good: 0.0,
        node: Node::Deliver(0),
    };
    let mut by_bin = Vec::with_capacity(choice.bins.len());
    for bin in &choice.bins {
        let next = best_outcome(problem, price, &belief.after(idx, choice, *bin));
        total.cost += next.cost;
        total.good += next.good;
        by_bin.push(next.node);
    }
    total.node = Node::Try {
        choice: idx,
        by_bin,
    };
    total
}

impl Belief {
    /// Returns the belief after the choice's confidence was observed to be in a bin.
    fn after(&self, idx: usize, choice: &Choice, [bad, good]: [f64; 2]) -> Self {
        let mut next = *self;
        let mut response = [0.0; 2];
        for (level, chance) in choice.good.into_iter().enumerate() {
            let seen = chance * good + (1.0 - chance) * bad;
            response[level] = if seen > 0.0 {
                chance * good / seen
            } else {
                0.0
            };
            next.weight[level] *= seen;
        }
        next.responses[self.len] = response;
        next.tried[self.len] = idx;
        next.len += 1;
        next
    }
}
