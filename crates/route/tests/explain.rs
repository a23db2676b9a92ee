//! Tests of the dry run of placement. Scripts that begin with `explain` test its content.

#[allow(dead_code, reason = "other test programs use the rest")]
#[path = "harness/router.rs"]
mod harness;

use std::time::Duration;

use expect_test::expect;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use route::directory::Absence;
use route::endpoint::Load;
use route::rollout::Order;
use route::{
    Call, Ending, Exclusion, Explanation, HostCount, InFlight, RequestProfile, RequestRate,
    Revision, Router, WarmUp,
};

const NOW: Duration = Duration::from_secs(100);
const ENDPOINTS: usize = 6;
const WARM_UP: WarmUp = WarmUp {
    span: Duration::from_secs(3),
    rate: 6.0,
};

/// Returns a router that knows endpoints of two releases during a roll-out.
fn router() -> Router {
    let mut router = harness::router(Some(WARM_UP), 7);
    let entries = (0..ENDPOINTS).map(|nr| {
        let release = if nr % 3 == 0 { "v2" } else { "v1" };
        let cold = Duration::from_secs(if nr == 1 { 2 } else { 0 });
        harness::entry(&format!("e-{nr}"), release, cold)
    });
    router.update_listing(NOW, entries.collect(), Absence::Gone);
    router.set_host_count(HostCount { live: 2, silent: 0 });
    let order = Order {
        service: "pool".into(),
        release: "v2".into(),
        duration: Duration::from_secs(20),
        revision: Revision::default(),
    };
    router.apply_order(order, NOW);
    router
}

fn profile(number: u32) -> RequestProfile {
    RequestProfile {
        prompt_tokens: u64::from(number % 7) * 400,
        shared_prefix: number
            .is_multiple_of(2)
            .then_some((u64::from(number % 3), 300)),
        session: number
            .is_multiple_of(5)
            .then(|| format!("s-{}", number % 11).into()),
        ..RequestProfile::default()
    }
}

/// Sends a random sequence of requests with random endings, calls `between` before each step, and
/// returns every decision.
fn decisions(seed: u64, between: impl Fn(&Router, Duration, u32)) -> Vec<String> {
    let mut rng = Pcg32::seed_from_u64(seed);
    let mut router = router();
    let mut open: Vec<(Call, InFlight)> = Vec::new();
    let mut decisions = Vec::new();
    let mut now = NOW;
    for number in 0..400 {
        now += Duration::from_millis(rng.random_range(1..60));
        between(&router, now, number);
        if open.len() < 5 || rng.random_bool(0.5) {
            let id = format!("r-{number}");
            let mut incoming = harness::request(&id);
            incoming.profile = profile(number);
            let mut call = router.admit(now, incoming).unwrap();
            let placement = router.place(now, &mut call);
            decisions.push(format!("{placement:?}"));
            let Some(placement) = placement else { continue };
            let in_flight = router.begin_attempt(now, &mut call, &placement);
            decisions.push(format!("{:?}", router.permit(now, &in_flight)));
            open.push((call, in_flight));
        } else {
            let (mut call, mut in_flight) = open.swap_remove(rng.random_range(0..open.len()));
            router.response_started(now, &call, &mut in_flight);
            report(&mut router, now, &mut in_flight, &mut rng);
            let ending = [
                Ending::Answered,
                Ending::Failed,
                Ending::Refused,
                Ending::NotSent,
            ][rng.random_range(0..4)];
            let next = router.end_attempt(now, &mut call, in_flight, ending);
            decisions.push(format!("{next:?}"));
        }
    }
    let share: Vec<_> = router.rollouts().map(|it| it.share(now)).collect();
    decisions.push(format!("{share:?} {:?}", router.budgets(now)));
    decisions
}

/// Records a random report of an endpoint.
fn report(router: &mut Router, now: Duration, in_flight: &mut InFlight, rng: &mut Pcg32) {
    let load = Load {
        running: rng.random_range(0..12),
        slots: 10,
        ..Load::default()
    };
    match rng.random_range(0..12) {
        0 => router.record_pause(now, in_flight, Duration::from_millis(200)),
        1 => {
            let rate = RequestRate::per_second(50.0);
            router.record_rate_limit(now, in_flight, rate);
        }
        2 => {
            router.record_brittle(now, in_flight);
        }
        _ => router.record_load(now, in_flight, load),
    }
}

/// Guards against an explanation that draws random numbers, counts a request or uses a share of an
/// endpoint's rate.
#[test]
fn explanations_change_no_later_decision() {
    for seed in 0..20 {
        let without = decisions(seed, |_, _, _| {});
        let with = decisions(seed, |router, now, number| {
            let before = format!("{router:?}");
            for _ in 0..3 {
                let id = format!("x-{number}");
                let mut incoming = harness::request(&id);
                incoming.profile = profile(number + 1);
                let _ = router.explain(now, incoming);
            }
            assert_eq!(format!("{router:?}"), before);
        });
        assert_eq!(without, with, "seed {seed}");
    }
}

/// Guards against an explanation that leaves out the endpoint that is chosen then, or gives another
/// number of candidates.
#[test]
fn the_chosen_endpoint_is_among_those_that_may_be_chosen() {
    for number in 0..200 {
        let mut router = router();
        let now = NOW + Duration::from_millis(u64::from(number) * 100);
        let id = format!("r-{number}");
        let incoming = || {
            let mut incoming = harness::request(&id);
            incoming.profile = profile(number);
            incoming
        };
        let Explanation::Admitted(prospect) = router.explain(now, incoming()) else {
            panic!("{number} is denied");
        };
        let mut call = router.admit(now, incoming()).unwrap();
        let placement = router.place(now, &mut call).unwrap();
        let found = prospect.candidates.iter().find(|it| it.id == placement.id);
        assert!(found.unwrap().may_be_chosen, "{number}");
        assert_eq!(prospect.candidates.len(), placement.candidates, "{number}");
        assert_eq!(
            prospect.assignment.map(|it| it.used),
            placement.side,
            "{number}"
        );
        assert_eq!(
            prospect.connections,
            Some(placement.connections),
            "{number}"
        );
    }
}

/// Returns why the only endpoint, to which a request was sent before, is excluded from another one.
fn reason_after(change: impl Fn(&mut Router, &InFlight)) -> Option<Exclusion> {
    let mut router = harness::router(Some(WARM_UP), 7);
    let entry = harness::entry("e-1", "v1", Duration::ZERO);
    router.update_listing(NOW, vec![entry], Absence::Gone);
    let mut call = router.admit(NOW, harness::request("r-1")).unwrap();
    let placement = router.place(NOW, &mut call).unwrap();
    let in_flight = router.begin_attempt(NOW, &mut call, &placement);
    change(&mut router, &in_flight);
    match router.explain(NOW, harness::request("x-1")) {
        Explanation::Admitted(it) => it.excluded.first().map(|it| it.reason),
        Explanation::Denied(denial) => panic!("{denial}"),
    }
}

/// Guards against a wait at an endpoint that is shown with another cause.
#[test]
fn endpoints_that_get_nothing_for_some_time_show_the_cause() {
    let left = Duration::from_millis(300);
    assert_eq!(reason_after(|_, _| {}), None);
    assert_eq!(
        reason_after(|router, it| router.record_pause(NOW, it, left)),
        Some(Exclusion::Paused { left })
    );
    let limited = reason_after(|router, it| {
        router.record_rate_limit(NOW, it, RequestRate::per_second(0.0));
    });
    assert!(
        matches!(limited, Some(Exclusion::RateLimited { .. })),
        "{limited:?}"
    );
    let brittle = reason_after(|router, it| {
        router.record_brittle(NOW, it);
    });
    assert_eq!(brittle, Some(Exclusion::Brittle));
    let leaving = reason_after(|router, it| {
        router.record_leaving(it);
    });
    assert_eq!(leaving, Some(Exclusion::Leaving));
    let left = Duration::from_secs(2);
    let cold = reason_after(|router, _| {
        let entry = harness::entry("e-1", "v1", left);
        router.update_listing(NOW, vec![entry], Absence::Gone);
    });
    assert_eq!(cold, Some(Exclusion::Cold { left }));
}

/// Guards against changes of the JSON form that tools read.
#[test]
fn explanations_have_a_stable_json_form() {
    let mut router = harness::router(None, 7);
    let listed = [("e-1", "v1"), ("e-2", "v2")];
    let entries = listed.map(|(id, release)| harness::entry(id, release, Duration::ZERO));
    router.update_listing(NOW, entries.to_vec(), Absence::Gone);
    router.apply_order(
        Order {
            service: "pool".into(),
            release: "v2".into(),
            duration: Duration::from_secs(20),
            revision: Revision::default(),
        },
        NOW,
    );
    let now = NOW + Duration::from_millis(250);
    let explanation = router.explain(now, harness::request("x-1"));
    let json = serde_json::to_string_pretty(&explanation).unwrap();
    let read: Explanation = serde_json::from_str(&json).unwrap();
    assert_eq!(read, explanation);
    expect![[r#"
        {
          "admitted": {
            "route": "draft",
            "customer": null,
            "service": "pool",
            "priority": 0,
            "model": null,
            "assignment": {
              "side": "old",
              "used": "old",
              "release": "v2",
              "verdict": "Running",
              "share": 0.0
            },
            "reach": "reachable",
            "leniency": "healthy",
            "random_range": 0.03,
            "candidates": [
              {
                "id": "e-1",
                "address": "10.0.0.1:80",
                "data_centre": "dc2",
                "release": "v1",
                "score": {
                  "utilization": 0.0,
                  "pending_prefill": 0.0,
                  "prefill": 0.0,
                  "errors": 0.0,
                  "random": 0.0,
                  "remote": 0.04,
                  "cold": 0.0,
                  "fill": 0.0,
                  "cache": 0.0
                },
                "total": 0.04,
                "may_be_chosen": true,
                "utilization": 0.0,
                "load_age_ms": null,
                "in_flight": 0,
                "slots": 10,
                "rate_limit": null
              }
            ],
            "excluded": [
              {
                "id": "e-2",
                "address": "10.0.0.1:80",
                "data_centre": "dc2",
                "release": "v2",
                "reason": "other_release"
              }
            ],
            "retry_after_ms": null,
            "connections": 90,
            "live_hosts": 1,
            "retries_left": null,
            "config": 1,
            "listing_age_ms": 250
          }
        }"#]]
    .assert_eq(&json);
    let mut incoming = harness::request("x-1");
    incoming.host = "elsewhere";
    let json = serde_json::to_string(&router.explain(now, incoming)).unwrap();
    expect![[r#"{"denied":"no_route"}"#]].assert_eq(&json);
}
