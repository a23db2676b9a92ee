use serde::Serialize;

use super::{Case, ClassFigures, Figures};
use crate::{Workload, router::RouterKind};

/// A required bound of a figure, and the measured value.
#[derive(Clone, Debug, Serialize)]
pub struct Aim {
    /// The workload.
    pub workload: Workload,
    /// The figure's description.
    pub what: &'static str,
    /// The required bound.
    pub wanted: String,
    /// The measured value.
    pub measured: String,
    /// Whether the measured value is within the bound.
    pub met: bool,
}

/// Returns the aims that the given cases measure.
pub(super) fn aims(cases: &[Case]) -> Vec<Aim> {
    let of = |workload| cases.iter().filter(move |it| it.workload == workload);
    let mut aims = Vec::new();
    for workload in Workload::ALL {
        let calm = of(workload).find(|it| it.scenario == "calm");
        for case in of(workload) {
            aims.extend(case_aims(case, calm));
        }
    }
    aims
}

fn case_aims(case: &Case, calm: Option<&Case>) -> Vec<Aim> {
    let Some(core) = case.figures_for(RouterKind::Core) else {
        return Vec::new();
    };
    let aim = AimBuilder {
        workload: case.workload,
    };
    let mut aims = scenario_aims(&aim, case, core, calm);
    let violations = [core.reruns, core.sent_to_withdrawn, core.unfinished];
    if violations.iter().any(|it| *it > 0) {
        aims.push(Aim {
            workload: aim.workload,
            what: "ran twice, sent to withdrawn, without an end",
            wanted: "none".to_owned(),
            measured: format!("{violations:?} in {}", case.scenario),
            met: false,
        });
    }
    aims
}

fn scenario_aims(aim: &AimBuilder, case: &Case, core: &Figures, calm: Option<&Case>) -> Vec<Aim> {
    match case.scenario.as_str() {
        "calm" => cost_aims(aim, case, core),
        "turns_bad" => vec![aim.below("harmed, wholly bad version", core.harmed, 20.0)],
        "fifth_bad" => vec![aim.below("harmed, a fifth bad", core.harmed, 200.0)],
        "overload" => overload_aims(aim, core, calm),
        "flood" => vec![aim.at_least("least share beside a flood", min_share(core), 0.95)],
        "pool_runs_out" => {
            vec![aim.below("tries a step, pool runs out", core.attempts_per_step, 1.1)]
        }
        _ => Vec::new(),
    }
}

fn cost_aims(aim: &AimBuilder, case: &Case, core: &Figures) -> Vec<Aim> {
    let mut aims = vec![aim.at_most("cost to the oracle's", core.cost_to_oracle, 1.15)];
    let missed = core
        .classes
        .iter()
        .filter(|it| it.good < it.target - TARGET_TOLERANCE)
        .map(|it| format!("{} {:.3} of {:.2}", it.class, it.good, it.target))
        .collect::<Vec<_>>();
    aims.push(Aim {
        workload: aim.workload,
        what: "target met by class",
        wanted: format!("each, to {TARGET_TOLERANCE}"),
        met: missed.is_empty(),
        measured: if missed.is_empty() {
            "each".to_owned()
        } else {
            missed.join(", ")
        },
    });
    if let Some(strongest) = case.figures_for(RouterKind::Strongest) {
        let saved = 1.0 - core.mean_cost / strongest.mean_cost;
        aims.push(aim.at_least("cheaper than strongest", saved, 0.40));
    }
    aims
}

/// Tolerance below a quality target, for sampling noise.
const TARGET_TOLERANCE: f64 = 0.005;

fn overload_aims(aim: &AimBuilder, core: &Figures, calm: Option<&Case>) -> Vec<Aim> {
    let wrong = f64::from(u32::try_from(core.quarantine.wrong).unwrap_or(u32::MAX));
    let mut aims = vec![aim.at_most("wrong quarantines in overload", wrong, 0.0)];
    let calm = calm.and_then(|it| it.figures_for(RouterKind::Core));
    let is_plain = |it: &&ClassFigures| it.target == 0.0;
    for class in core.classes.iter().filter(is_plain) {
        let before = calm.and_then(|it| it.classes.iter().find(|it| it.class == class.class));
        if let Some(before) = before {
            let ratio = class.latency.p99 / before.latency.p99;
            aims.push(aim.at_most("p99 of plain calls over unloaded", ratio, 1.2));
        }
    }
    aims
}

/// Returns the lowest delivered share of the customers other than the flooding one.
fn min_share(core: &Figures) -> f64 {
    core.customers
        .iter()
        .enumerate()
        .filter(|(idx, _)| *idx != FLOODING_CUSTOMER)
        .map(|(_, it)| it.share)
        .fold(1.0, f64::min)
}

/// The flooding customer of the shipped `flood` scenario.
const FLOODING_CUSTOMER: usize = 4;

struct AimBuilder {
    workload: Workload,
}

impl AimBuilder {
    fn at_most(&self, what: &'static str, measured: f64, bound: f64) -> Aim {
        self.aim(
            what,
            format!("at most {bound}"),
            measured,
            measured <= bound,
        )
    }

    fn below(&self, what: &'static str, measured: f64, bound: f64) -> Aim {
        self.aim(what, format!("below {bound}"), measured, measured < bound)
    }

    fn at_least(&self, what: &'static str, measured: f64, bound: f64) -> Aim {
        self.aim(
            what,
            format!("at least {bound}"),
            measured,
            measured >= bound,
        )
    }

    fn aim(&self, what: &'static str, wanted: String, measured: f64, met: bool) -> Aim {
        Aim {
            workload: self.workload,
            what,
            wanted,
            measured: format!("{measured:.3}"),
            met,
        }
    }
}
