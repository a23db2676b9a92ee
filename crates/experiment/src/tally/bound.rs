use super::float;
use crate::{
    arrival::Arrival,
    ground_truth::GroundTruth,
    workload::{ClassIdx, World},
};

/// Returns a lower bound of the cost at which each class meets its target with the versions of
/// [`World::ACTIVE`], given knowledge of every response in advance.
///
/// Each request takes the cheapest version, except that the requests with the least extra cost of a
/// good response, up to the target's share, take that response instead. Responses are those at the
/// arrival time. Ignores capacity, sessions, withdrawals and the measurement window.
pub(crate) fn clairvoyant_cost(truth: &GroundTruth<'_>, arrivals: &[Arrival]) -> f64 {
    let models = truth.world.classes().filter(|(_, it)| it.is_model());
    models
        .map(|(idx, class)| class_bound(truth, arrivals, idx, class.target()))
        .sum()
}

fn class_bound(truth: &GroundTruth<'_>, arrivals: &[Arrival], class: ClassIdx, target: f64) -> f64 {
    let mut extra_costs = Vec::new();
    let mut total = 0;
    let mut without_good_response = 0;
    for arrival in arrivals.iter().filter(|it| it.class == class) {
        let cost = |it| {
            truth
                .world
                .version(it)
                .cost(arrival.prompt, arrival.completion)
                .0
        };
        let cheapest = World::ACTIVE.map(cost).into_iter().min().unwrap_or(0);
        let good = World::ACTIVE
            .into_iter()
            .filter(|it| truth.response(arrival, *it, arrival.at).good)
            .map(cost)
            .min();
        total += cheapest;
        match good {
            Some(good) => extra_costs.push(good - cheapest),
            None => without_good_response += 1,
        }
    }
    extra_costs.sort_unstable();
    let all = extra_costs.len() + without_good_response;
    let needed = (1..=all)
        .take_while(|it| share(*it, all) <= target)
        .count()
        .min(extra_costs.len());
    float(total + extra_costs.iter().take(needed).sum::<u64>())
}

fn share(part: usize, whole: usize) -> f64 {
    let [part, whole] = [part, whole].map(|it| f64::from(u32::try_from(it).unwrap_or(u32::MAX)));
    part / whole
}
