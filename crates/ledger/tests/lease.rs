//! Leases: scripted failures under `leases/`, and random fault schedules drawn by proptest.

mod simulation;

use std::time::Duration;

use datadriven::TestCase;
use proptest::prelude::*;

use simulation::{Candidate, Simulation};

#[test]
fn scripted_faults_of_leases_have_the_expected_traces() {
    datadriven::walk("tests/leases", |file| {
        let mut simulation = Simulation::default();
        file.run(|case| run(&mut simulation, case));
    });
}

fn run(simulation: &mut Simulation, case: &TestCase) -> String {
    assert_eq!(case.directive, "step", "the only directive is `step`");
    for line in case.input.lines() {
        let words: Vec<&str> = line.split_whitespace().collect();
        command(simulation, &words);
    }
    let trace = std::mem::take(&mut simulation.trace);
    if trace.is_empty() {
        "nothing\n".to_owned()
    } else {
        trace
    }
}

fn command(simulation: &mut Simulation, words: &[&str]) {
    match words {
        ["candidate", name] => {
            simulation.add(Candidate::new(name, simulation.candidates.len(), 1.0));
        }
        ["candidate", name, "clock", rate] => {
            let rate = rate.parse().unwrap();
            simulation.add(Candidate::new(name, simulation.candidates.len(), rate));
        }
        ["run", span] => simulation.run(span_of(span)),
        ["freeze", name] => simulation.freeze(name),
        ["thaw", name] => simulation.thaw(name),
        ["order", name] => simulation.order(name),
        ["decide", name] => simulation.decide(name),
        ["deliver", name] => simulation.deliver(name),
        ["resign", name] => simulation.resign(name),
        ["table", "fine"] => (simulation.unavailable, simulation.slow) = (false, false),
        ["table", "slow"] => simulation.slow = true,
        ["table", "out"] => simulation.unavailable = true,
        ["table", "loses", count] => simulation.lost_responses = count.parse().unwrap(),
        ["table", "late", count] => simulation.late_writes = count.parse().unwrap(),
        words => panic!("unknown command {words:?}"),
    }
}

fn span_of(text: &str) -> Duration {
    Duration::from_secs_f64(text.trim_end_matches('s').parse().unwrap())
}

/// A fault of a random schedule.
#[derive(Clone, Debug)]
enum Fault {
    Freeze(usize),
    Thaw(usize),
    Unavailable,
    Available,
    Slow,
    Lose(u32),
    Late(u32),
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        (0..3_usize).prop_map(Fault::Freeze),
        (0..3_usize).prop_map(Fault::Thaw),
        Just(Fault::Unavailable),
        Just(Fault::Available),
        Just(Fault::Slow),
        (1..4_u32).prop_map(Fault::Lose),
        (1..4_u32).prop_map(Fault::Late),
    ]
}

const NAMES: [&str; 3] = ["x", "y", "z"];

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// At most one candidate may issue orders at a time, fencing numbers don't fall, and one
    /// candidate holds the lease after the faults have ended.
    #[test]
    fn one_holder_at_a_time(
        schedule in prop::collection::vec((0_u64..12_000, fault()), 1..12),
        rates in prop::collection::vec(0.98_f64..1.02, 3),
    ) {
        let mut simulation = Simulation::default();
        for (idx, rate) in rates.iter().enumerate() {
            simulation.add(Candidate::new(NAMES[idx], idx, *rate));
        }
        for (pause, fault) in schedule {
            simulation.run_checked(Duration::from_millis(pause))?;
            match fault {
                Fault::Freeze(idx) => simulation.freeze(NAMES[idx]),
                Fault::Thaw(idx) => simulation.thaw(NAMES[idx]),
                Fault::Unavailable => simulation.unavailable = true,
                Fault::Available => (simulation.unavailable, simulation.slow) = (false, false),
                Fault::Slow => simulation.slow = true,
                Fault::Lose(count) => simulation.lost_responses = count,
                Fault::Late(count) => simulation.late_writes = count,
            }
        }
        simulation.run_checked(Duration::from_secs(5))?;
        for name in NAMES {
            simulation.thaw(name);
        }
        (simulation.unavailable, simulation.slow) = (false, false);
        (simulation.lost_responses, simulation.late_writes) = (0, 0);
        simulation.run_checked(Duration::from_mins(1))?;
        let holders = simulation.holders().len();
        prop_assert_eq!(holders, 1, "exactly one candidate holds the lease in the end");
    }
}
