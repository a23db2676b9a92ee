//! Compares the figures of scenarios under the baselines with golden output.
//!
//! The decision core is excluded, so that its rules can change without changing the golden output.
//! Update it with `REWRITE=1 cargo test -p experiment --test golden`.

use std::fmt::Write;

use datadriven::{TestCase, walk};
use experiment::{Case, Options, RouterKind, Scenario, Seeds, Workload, case};

#[test]
fn baseline_figures_match_the_golden_output() {
    walk("tests/cases", |file| file.run(|test| check(test)));
}

fn check(test: &TestCase) -> String {
    let workload = &test.args["workload"][0];
    let options = Options {
        seeds: Seeds::One(7),
        quick: true,
        ..Options::default()
    };
    let workload = Workload::named(workload).expect("the case names a workload");
    match Scenario::parse("case", &test.input) {
        Ok(scenario) => print(&case(&options, workload, &scenario)),
        Err(error) => format!("{error}\n"),
    }
}

fn print(case: &Case) -> String {
    let mut text = String::new();
    for it in case
        .figures
        .iter()
        .filter(|it| it.router != RouterKind::Core)
    {
        let _ = writeln!(
            text,
            "{}: answered {} of {}, good {:.3}, cost {:.0}, harmed {}, tries {:.2}, refusals {:?}",
            it.router,
            it.delivered,
            it.requests,
            it.good,
            it.mean_cost,
            it.harmed,
            it.attempts_per_step,
            it.refusals,
        );
    }
    text
}
