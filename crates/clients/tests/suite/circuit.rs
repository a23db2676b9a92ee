//! Tests of the circuit breaker.

use std::fmt::Write as _;
use std::time::Duration;

use clients::{Admission, Circuit, Tuning};
use datadriven::walk;
use proptest::prelude::*;

fn tuning() -> Tuning {
    Tuning {
        failures: 3,
        first_wait: Duration::from_millis(200),
        max_wait: Duration::from_secs(1),
        probe_timeout: Duration::from_secs(10),
    }
}

/// Runs a script whose lines are a time in milliseconds and a step. The jitter
/// comes from a fixed seed, so the output is deterministic.
fn run(input: &str) -> String {
    let mut circuit = Circuit::new(7, tuning());
    let mut out = String::new();
    for line in input.lines() {
        let (at, step) = line.split_once(' ').unwrap();
        let now = Duration::from_millis(at.parse().unwrap());
        match step {
            "fail" => circuit.fail(now, Admission::Admit),
            "probe-fail" => circuit.fail(now, Admission::Probe),
            "succeed" => circuit.succeed(),
            "admit" => {
                let admission = match circuit.admit(now) {
                    Admission::Admit => "admit".to_owned(),
                    Admission::Probe => "probe".to_owned(),
                    Admission::Refuse(wait) => format!("refuse for {} ms", wait.as_millis()),
                };
                let _ = writeln!(out, "{at} {admission}");
            }
            other => panic!("unknown step {other}"),
        }
    }
    out
}

#[test]
fn scripted_outages() {
    walk("tests/data/circuit", |file| {
        file.run(|case| run(&case.input));
    });
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Admit,
    Fail(Admission),
    Succeed,
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        Just(Step::Admit),
        Just(Step::Fail(Admission::Admit)),
        Just(Step::Fail(Admission::Probe)),
        Just(Step::Succeed),
        (0..20_000u64).prop_map(Step::Wait),
    ]
}

proptest! {
    #[test]
    fn refusal_ends_with_a_probe(
        seed in any::<u64>(),
        steps in proptest::collection::vec(step(), 0..40),
    ) {
        // A probe without an outcome must not keep the circuit open forever.
        let mut circuit = Circuit::new(seed, tuning());
        let mut now = Duration::ZERO;
        for step in steps {
            match step {
                Step::Admit => drop(circuit.admit(now)),
                Step::Fail(admission) => circuit.fail(now, admission),
                Step::Succeed => circuit.succeed(),
                Step::Wait(ms) => now += Duration::from_millis(ms),
            }
        }
        let longest = tuning().probe_timeout.max(tuning().max_wait);
        if let Admission::Refuse(wait) = circuit.admit(now) {
            prop_assert!(wait <= longest);
            prop_assert_eq!(circuit.admit(now + wait), Admission::Probe);
        }
    }
}
