//! Leases: scripted failures under `leases/`, and random fault schedules drawn by proptest.

mod site;

use std::time::Duration;

use datadriven::TestCase;
use proptest::prelude::*;

use site::{Candidate, Site};

#[test]
fn leases() {
    datadriven::walk("tests/leases", |file| {
        let mut site = Site::default();
        file.run(|case| run(&mut site, case));
    });
}

fn run(site: &mut Site, case: &TestCase) -> String {
    assert_eq!(
        case.directive, "step",
        "commands must stand below `step`"
    );
    for line in case.input.lines() {
        let words: Vec<&str> = line.split_whitespace().collect();
        command(site, &words);
    }
    let trace = std::mem::take(&mut site.trace);
    if trace.is_empty() {
        "nothing\n".to_owned()
    } else {
        trace
    }
}

fn command(site: &mut Site, words: &[&str]) {
    match words {
        ["candidate", name] => site.add(Candidate::new(name, site.candidates.len(), 1.0)),
        ["candidate", name, "clock", rate] => {
            let rate = rate.parse().unwrap();
            site.add(Candidate::new(name, site.candidates.len(), rate));
        }
        ["run", span] => site.run(span_of(span)),
        ["freeze", name] => site.freeze(name),
        ["thaw", name] => site.thaw(name),
        ["order", name] => site.order(name),
        ["decide", name] => site.decide(name),
        ["deliver", name] => site.deliver(name),
        ["resign", name] => site.resign(name),
        ["table", "fine"] => (site.out, site.slow) = (false, false),
        ["table", "slow"] => site.slow = true,
        ["table", "out"] => site.out = true,
        ["table", "loses", count] => site.lose = count.parse().unwrap(),
        ["table", "late", count] => site.late = count.parse().unwrap(),
        words => panic!("unknown command {words:?}"),
    }
}

fn span_of(text: &str) -> Duration {
    Duration::from_secs_f64(text.trim_end_matches('s').parse().unwrap())
}

/// A fault of a random schedule.
#[derive(Clone, Debug)]
enum Trouble {
    Freeze(usize),
    Thaw(usize),
    Out,
    Fine,
    Slow,
    Lose(u32),
    Late(u32),
}

fn trouble() -> impl Strategy<Value = Trouble> {
    prop_oneof![
        (0..3_usize).prop_map(Trouble::Freeze),
        (0..3_usize).prop_map(Trouble::Thaw),
        Just(Trouble::Out),
        Just(Trouble::Fine),
        Just(Trouble::Slow),
        (1..4_u32).prop_map(Trouble::Lose),
        (1..4_u32).prop_map(Trouble::Late),
    ]
}

const NAMES: [&str; 3] = ["x", "y", "z"];

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// Guards against two hosts that issue orders at the same time, and against fencing numbers
    /// that fall from one holder to the next, whatever hosts freeze and however the table fails.
    #[test]
    fn one_holder_at_a_time(
        schedule in prop::collection::vec((0_u64..12_000, trouble()), 1..12),
        rates in prop::collection::vec(0.98_f64..1.02, 3),
    ) {
        let mut site = Site::default();
        for (idx, rate) in rates.iter().enumerate() {
            site.add(Candidate::new(NAMES[idx], idx, *rate));
        }
        for (pause, trouble) in schedule {
            site.watch(Duration::from_millis(pause))?;
            match trouble {
                Trouble::Freeze(idx) => site.freeze(NAMES[idx]),
                Trouble::Thaw(idx) => site.thaw(NAMES[idx]),
                Trouble::Out => site.out = true,
                Trouble::Fine => (site.out, site.slow) = (false, false),
                Trouble::Slow => site.slow = true,
                Trouble::Lose(count) => site.lose = count,
                Trouble::Late(count) => site.late = count,
            }
        }
        site.watch(Duration::from_secs(5))?;
        for name in NAMES {
            site.thaw(name);
        }
        (site.out, site.slow, site.lose, site.late) = (false, false, 0, 0);
        site.watch(Duration::from_mins(1))?;
        prop_assert_eq!(site.holders().len(), 1, "exactly one candidate holds the lease in the end");
    }
}
