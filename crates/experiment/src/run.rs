use crate::{
    Error, Options, Report, Scenario, Workload,
    arrival::arrivals,
    ground_truth::GroundTruth,
    keyed_rng::KeyedRng,
    report::Case,
    router::RouterKind,
    sim::Sim,
    tally::{Tally, clairvoyant_cost},
};

/// The divisor of scenario times in quick mode.
const QUICK_DIVISOR: u32 = 20;

/// The number of hosts in quick mode.
const QUICK_HOSTS: usize = 3;

/// Runs the selected scenarios under every router.
///
/// # Errors
///
/// Returns an error if no scenario has the name in the options, or if a scenario is invalid.
pub fn run(options: &Options) -> Result<Report, Error> {
    let scenarios = match &options.scenario {
        Some(name) => vec![Scenario::shipped(name)?],
        None => Scenario::names()
            .map(Scenario::shipped)
            .collect::<Result<_, _>>()?,
    };
    let workloads = Workload::ALL
        .into_iter()
        .filter(|it| options.workload.is_none_or(|only| only == *it));
    let mut cases = Vec::new();
    for workload in workloads {
        for scenario in &scenarios {
            cases.push(case(options, workload, scenario));
        }
    }
    Ok(Report::new(options, cases))
}

/// Runs one scenario, which needn't be a shipped one, under every router.
#[must_use]
pub fn case(options: &Options, workload: Workload, scenario: &Scenario) -> Case {
    let mut world = workload.world();
    let mut scenario = scenario.clone();
    if options.quick {
        world.hosts = QUICK_HOSTS;
        scenario = scenario.shortened(QUICK_DIVISOR);
    }
    let mut tallies = RouterKind::ALL.map(|kind| Tally::new(kind, &world, &scenario));
    for seed in options.seeds.list() {
        let arrivals = arrivals(&world, &scenario, seed);
        let truth = GroundTruth {
            world: &world,
            scenario: &scenario,
            keyed_rng: KeyedRng::new(seed),
        };
        let logs = RouterKind::ALL.map(|kind| Sim::run(kind, truth, &arrivals, seed));
        let bound = clairvoyant_cost(&truth, &arrivals);
        let oracle = RouterKind::ALL
            .iter()
            .position(|it| *it == RouterKind::Oracle);
        let oracle = &logs[oracle.unwrap_or(0)];
        for (tally, log) in tallies.iter_mut().zip(&logs) {
            tally.add(&arrivals, log, oracle, bound);
        }
    }
    let figures = tallies.map(Tally::finish).into_iter().collect();
    Case::new(workload, &scenario, figures)
}
