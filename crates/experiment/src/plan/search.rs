use super::{Choice, Node, Problem};

/// Number of bisection steps in the search for the price of a good response.
const STEPS: u32 = 24;

/// Maximum versions that a plan tries for a request.
const MOST_CHOICES: usize = 4;

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
    answers: [[f64; 2]; MOST_CHOICES],
    /// The choice that returned each response.
    asked: [usize; MOST_CHOICES],
    /// The number of responses.
    len: usize,
}

impl Plan {
    /// Returns the plan of least cost whose expected share of good responses is at least `target`,
    /// or the plan with the highest share if the target can't be reached.
    #[must_use]
    pub fn solve(problem: &Problem, target: f64) -> Self {
        let turns = 1.0 + problem.follow;
        Self::solve_turns(problem, target * turns).a_turn(turns)
    }

    /// Like [`Self::solve`], with the target, cost and good responses summed over all turns.
    fn solve_turns(problem: &Problem, target: f64) -> Self {
        let dearest = problem.choices.iter().map(|it| it.cost).fold(0.0, f64::max);
        let mut low = (0.0, best(problem, 0.0));
        if low.1.good >= target {
            return Self::pure(low.1);
        }
        let price = dearest * 1.0e4;
        let mut high = (price, best(problem, price));
        if high.1.good <= target {
            return Self::pure(high.1);
        }
        for _ in 0..STEPS {
            let price = between(low.0, high.0, dearest);
            let outcome = best(problem, price);
            if outcome.good < target {
                low = (price, outcome);
            } else {
                high = (price, outcome);
            }
        }
        Self::mixed(low.1, high.1, target)
    }

    fn a_turn(self, turns: f64) -> Self {
        Self {
            cost: self.cost / turns,
            good: self.good / turns,
            ..self
        }
    }

    fn pure(outcome: Outcome) -> Self {
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
            return Self::pure(high);
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
fn between(low: f64, high: f64, dearest: f64) -> f64 {
    if low > 0.0 {
        (low * high).sqrt()
    } else {
        (dearest * 1.0e-3).min(high / 2.0)
    }
}

fn best(problem: &Problem, price: f64) -> Outcome {
    let start = Belief {
        weight: [1.0 - problem.hard, problem.hard],
        answers: [[0.0; 2]; MOST_CHOICES],
        asked: [0; MOST_CHOICES],
        len: 0,
    };
    step(problem, price, &start)
}

/// Returns the best outcome from a belief on, weighted by the probability of the belief.
fn step(problem: &Problem, price: f64, belief: &Belief) -> Outcome {
    let mut best = deliver(problem, price, belief);
    if belief.len == problem.depth.min(MOST_CHOICES) {
        return best.expect("depth is at least one, so there is a response");
    }
    let weight = belief.weight[0] + belief.weight[1];
    for idx in 0..problem.choices.len() {
        let hopeless = |it: &Outcome| cannot_win(problem, it, idx, weight, price);
        if belief.asked[..belief.len].contains(&idx) || best.as_ref().is_some_and(hopeless) {
            continue;
        }
        let outcome = ask(problem, price, belief, idx);
        if best
            .as_ref()
            .is_none_or(|it| value(&outcome, price) < value(it, price))
        {
            best = Some(outcome);
        }
    }
    best.expect("a problem has at least one choice")
}

/// Returns whether trying the choice can't improve on `best`, even if it costs only the choice
/// itself and all responses of this turn and the following ones are good.
fn cannot_win(problem: &Problem, best: &Outcome, idx: usize, weight: f64, price: f64) -> bool {
    let gain = price * (1.0 + problem.follow);
    (problem.choices[idx].cost - gain) * weight >= value(best, price)
}

fn value(outcome: &Outcome, price: f64) -> f64 {
    outcome.cost - price * outcome.good
}

/// Returns the best outcome of delivering one of the responses so far, including the following
/// turns; `None` before the first response.
fn deliver(problem: &Problem, price: f64, belief: &Belief) -> Option<Outcome> {
    let weight = belief.weight[0] + belief.weight[1];
    let outcomes = (0..belief.len).map(|place| {
        let answer = belief.answers[place];
        let choice = belief.asked[place];
        let good = answer[0] * belief.weight[0] + answer[1] * belief.weight[1];
        Outcome {
            cost: weight * problem.follow * problem.choices[choice].cost,
            good: good + weight * problem.follow * problem.quality(choice),
            node: Node::Deliver(place),
        }
    });
    outcomes.min_by(|a, b| value(a, price).total_cmp(&value(b, price)))
}

fn ask(problem: &Problem, price: f64, belief: &Belief, idx: usize) -> Outcome {
    let choice = &problem.choices[idx];
    let mut total = Outcome {
        cost: choice.cost * (belief.weight[0] + belief.weight[1]),
        good: 0.0,
        node: Node::Deliver(0),
    };
    let mut then = Vec::with_capacity(choice.steps.len());
    for steps in &choice.steps {
        let next = step(problem, price, &belief.after(idx, choice, *steps));
        total.cost += next.cost;
        total.good += next.good;
        then.push(next.node);
    }
    total.node = Node::Ask { choice: idx, then };
    total
}

impl Belief {
    /// Returns the belief after the choice's confidence was observed to be in a bin.
    fn after(&self, idx: usize, choice: &Choice, [bad, good]: [f64; 2]) -> Self {
        let mut next = *self;
        let mut answer = [0.0; 2];
        for (level, chance) in choice.good.into_iter().enumerate() {
            let seen = chance * good + (1.0 - chance) * bad;
            answer[level] = if seen > 0.0 {
                chance * good / seen
            } else {
                0.0
            };
            next.weight[level] *= seen;
        }
        next.answers[self.len] = answer;
        next.asked[self.len] = idx;
        next.len += 1;
        next
    }
}
