//! Tests of what a host learns about endpoints of unequal speed.

#[allow(dead_code, reason = "other test programs use the rest")]
#[path = "harness/router.rs"]
mod harness;

#[path = "uneven_endpoints/fleet.rs"]
mod fleet;

use std::time::Duration;

use fleet::{Fleet, Model, Report};
use rand::RngExt;
use route::LoadPolicy;

const ENDPOINTS: usize = 90;
/// The streams that one of 66 hosts sends a second.
const PER_SECOND: u32 = 7;

fn usual(report: Report) -> Vec<Model> {
    vec![Model::new(1.0, report); ENDPOINTS]
}

/// Returns whether a slowness is exactly that of an endpoint about which nothing is known.
fn is_usual(slowness: f64) -> bool {
    (slowness - 1.0).abs() < f64::EPSILON
}

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let values: Vec<_> = values.collect();
    values.iter().sum::<f64>() / f64::from(u32::try_from(values.len()).unwrap())
}

/// Guards against a host that takes endpoints for equal of which a quarter are 2.2 times as fast
/// as the others, while it sees each of them every 13 seconds.
#[test]
fn a_quarter_of_faster_endpoints_is_told_apart() {
    let mut models = usual(Report::Absent);
    for it in models.iter_mut().step_by(4) {
        it.factor = 1.0 / 2.2;
    }
    let mut fleet = Fleet::new(LoadPolicy::Contended, models);
    fleet.run(PER_SECOND, Duration::from_mins(3));
    let (fast, slow): (Vec<_>, Vec<_>) = (0..ENDPOINTS).partition(|it| it % 4 == 0);
    let fast: Vec<_> = fast.into_iter().map(|it| fleet.learned(it)).collect();
    let slow: Vec<_> = slow.into_iter().map(|it| fleet.learned(it)).collect();
    let slowest_of_fast = fast.iter().copied().fold(0.0, f64::max);
    let fastest_of_slow = slow.iter().copied().fold(9.0, f64::min);
    assert!(slowest_of_fast < fastest_of_slow, "{fast:?} {slow:?}");
    let ratio = mean(slow.into_iter()) / mean(fast.into_iter());
    assert!((1.7..2.4).contains(&ratio), "{ratio}");
}

/// Guards against endpoints that are avoided for long because their machines were slow at times:
/// 2.5 times slower for 600 ms in 15 of 100 of the time.
#[test]
fn short_slowdowns_count_only_while_they_last() {
    let mut fleet = Fleet::new(LoadPolicy::Standard, usual(Report::True));
    let end = Duration::from_mins(5);
    for nr in 0..ENDPOINTS {
        let mut at = Duration::from_millis(100_000 + fleet.rng.random_range(0..4_000));
        while at < end {
            fleet.models[nr].slow_from.push(at);
            at += Duration::from_millis(fleet.rng.random_range(2_000..6_000));
        }
    }
    fleet.run(PER_SECOND, Duration::from_mins(3));
    for nr in 0..ENDPOINTS {
        let learned = fleet.learned(nr);
        assert!((0.75..1.33).contains(&learned), "{nr}: {learned}");
    }
    let nr = 5;
    let learned = fleet.learned(nr);
    fleet.now = *fleet.models[nr].slow_from.last().unwrap();
    fleet.send(nr);
    let (fresh, stale) = (Duration::from_millis(399), Duration::from_millis(400));
    let ratio = |after| fleet.slowness(nr, fleet.now + after) / learned;
    assert!((2.4..2.6).contains(&ratio(fresh)), "{}", ratio(fresh));
    assert!((0.9..1.1).contains(&ratio(stale)), "{}", ratio(stale));
}

/// Guards against an endpoint that attracts or turns away requests for good by a false pace.
#[test]
fn streams_show_a_false_pace() {
    let mut models = usual(Report::True);
    models[0].report = Report::Constant(1);
    models[1].report = Report::Constant(u32::MAX);
    let mut fleet = Fleet::new(LoadPolicy::Standard, models);
    fleet.run(PER_SECOND, Duration::from_mins(5));
    fleet.finish();
    for nr in [0, 1] {
        fleet.send(nr);
    }
    let claims_fast = (fleet.slowness(0, fleet.now), fleet.learned(0));
    assert!(
        claims_fast.0 > 0.2 && claims_fast.1 > 2.0,
        "{claims_fast:?}"
    );
    let claims_slow = (fleet.slowness(1, fleet.now), fleet.learned(1));
    assert!(
        claims_slow.0 < 10.0 && claims_slow.1 < 1.0,
        "{claims_slow:?}"
    );
    let others = mean((2..ENDPOINTS).map(|it| fleet.learned(it)));
    assert!((0.9..1.1).contains(&others), "{others}");
}

/// Guards against a new process that is judged by the former one, whose last report and streams
/// end after the listing shows the restart.
#[test]
fn a_restarted_endpoint_starts_as_a_usual_one() {
    let mut models = usual(Report::True);
    models[0].factor = 4.0;
    let mut fleet = Fleet::new(LoadPolicy::Contended, models);
    fleet.run(PER_SECOND, Duration::from_mins(3));
    fleet.models[0].slow_from.push(fleet.now);
    fleet.send(0);
    let before = fleet.slowness(0, fleet.now);
    assert!(before > 5.0, "{before}");
    fleet.models[0].incarnation = 2;
    fleet.list();
    fleet.report_late(900);
    let after = fleet.slowness(0, fleet.now);
    fleet.finish();
    let later = fleet.slowness(0, fleet.now);
    assert!(is_usual(after) && is_usual(later), "{after} {later}");
}

/// Guards against an endpoint that stays avoided because it was slow once: without requests, it
/// shows no other speed.
#[test]
fn an_endpoint_without_streams_becomes_usual_again() {
    let mut models = usual(Report::Absent);
    models[0].factor = 4.0;
    let mut fleet = Fleet::new(LoadPolicy::Contended, models);
    fleet.run(PER_SECOND, Duration::from_mins(3));
    let slow = fleet.learned(0);
    let later = fleet.slowness(0, fleet.now + Duration::from_mins(12));
    assert!(slow > 2.5 && later < 1.1, "{slow} {later}");
}

/// Guards against a single stream, whose caller may have read it slowly, that decides.
#[test]
fn one_stream_outweighs_little() {
    let mut fleet = Fleet::new(LoadPolicy::Contended, usual(Report::Absent));
    fleet.run(PER_SECOND, Duration::from_secs(20));
    fleet.finish();
    let before = fleet.learned(0);
    fleet.models[0].factor = 100.0;
    fleet.send(0);
    fleet.finish();
    let ratio = fleet.learned(0) / before;
    assert!((1.1..2.2).contains(&ratio), "{ratio}");
}

/// Guards against a deployment without paces and contention whose endpoints are judged by speed.
#[test]
fn nothing_is_learned_under_the_standard_policy() {
    let mut models = usual(Report::Absent);
    models[0].factor = 4.0;
    let mut fleet = Fleet::new(LoadPolicy::Standard, models);
    fleet.run(PER_SECOND, Duration::from_mins(1));
    assert!((0..ENDPOINTS).all(|it| is_usual(fleet.slowness(it, fleet.now))));
    assert!(fleet.router.slowness_by_service(fleet.now).is_empty());
}

/// Guards against operators who can't see that endpoints are uneven.
#[test]
fn the_spread_of_a_service_is_told() {
    let mut models = usual(Report::Absent);
    models[0].factor = 4.0;
    models[1].factor = 0.3;
    let mut fleet = Fleet::new(LoadPolicy::Contended, models);
    fleet.run(PER_SECOND, Duration::from_mins(3));
    let told = fleet.router.slowness_by_service(fleet.now);
    let [(service, it)] = &told[..] else {
        panic!("{told:?}");
    };
    assert_eq!(service.as_str(), "pool");
    assert!(it.fastest < 0.6 && it.slowest > 2.5, "{it:?}");
    assert!((0.85..1.15).contains(&it.median), "{it:?}");
}
