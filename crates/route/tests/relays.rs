//! Tests of forwarding requests through other hosts.

#[allow(dead_code, reason = "other test programs use the rest")]
#[path = "harness/router.rs"]
mod harness;

use std::collections::BTreeSet;
use std::time::Duration;

use route::directory::Absence;
use route::{
    Call, Denial, Ending, Failure, HostCount, IncomingRequest, Next, Relay, Relayed, Router,
};

const NOW: Duration = Duration::from_secs(100);
const ENDPOINTS: usize = 12;

/// Returns a router that is cut off from its endpoints and knows this many local and remote hosts.
fn cut_off(local: usize, remote: usize) -> Router {
    let mut router = harness::router(None, 1);
    router.set_host_count(HostCount { live: 1, silent: 0 });
    let entry = |nr| harness::entry(&format!("e-{nr}"), "v1", Duration::ZERO);
    router.update_listing(NOW, (0..ENDPOINTS).map(entry).collect(), Absence::Gone);
    let keys: Vec<_> = router
        .directory()
        .endpoints_of(&"pool".into())
        .map(|it| it.0)
        .collect();
    for key in keys {
        router.connect_failed(NOW, key);
    }
    let relay = |data_centre: &str, nr: usize| Relay {
        address: format!("10.1.0.{nr}:80").parse().unwrap(),
        data_centre: data_centre.into(),
    };
    let local = (1..=local).map(|it| relay("dc1", it));
    let remote = (101..=100 + remote).map(|it| relay("dc2", it));
    router.set_relays(local.chain(remote).collect());
    router
}

fn admit(router: &mut Router, relayed: Option<Relayed>) -> Result<Call, Denial> {
    let request = IncomingRequest {
        relayed,
        ..harness::request("q1")
    };
    router.admit(NOW, request)
}

/// Returns the last octets of the hosts that are asked for one request, in order.
fn asked(local: usize, remote: usize) -> Vec<u8> {
    let mut router = cut_off(local, remote);
    let mut call = admit(&mut router, None).unwrap();
    let next = || router.next_relay(&mut call);
    std::iter::from_fn(next)
        .map(|it| {
            it.to_string()
                .split(['.', ':'])
                .nth(3)
                .unwrap()
                .parse()
                .unwrap()
        })
        .collect()
}

#[test]
fn few_hosts_are_asked_for_a_request_whatever_their_number() {
    for (local, remote) in [(0, 0), (1, 0), (1, 1), (4, 4), (50, 50)] {
        let asked = asked(local, remote);
        assert_eq!(asked.len(), 3.min(local + remote));
        assert_eq!(asked.iter().collect::<BTreeSet<_>>().len(), asked.len());
    }
}

/// Guards against asking only hosts of a data centre that is cut off as a whole.
#[test]
fn a_local_host_is_asked_first_and_a_remote_one_next() {
    let asked = asked(4, 4);
    assert!(asked[0] <= 4 && asked[1] > 100, "{asked:?}");
}

/// Guards against requests that circulate among hosts that reach no endpoint.
#[test]
fn a_relayed_request_goes_no_further() {
    let mut router = cut_off(4, 4);
    let relayed = Some(Relayed {
        version: 1,
        attempts: 0,
    });
    let denied = admit(&mut router, relayed);
    assert!(matches!(denied, Err(Denial::Unreachable)), "{denied:?}");
    router.connect_opened();
    let mut call = admit(&mut router, relayed).unwrap();
    let keys: Vec<_> = router
        .directory()
        .endpoints_of(&"pool".into())
        .map(|it| it.0)
        .collect();
    for key in keys {
        router.connect_failed(NOW, key);
    }
    assert_eq!(router.next_relay(&mut call), None);
}

/// Guards against a host that handles a request by an older configuration than its caller has seen.
#[test]
fn a_host_with_an_older_configuration_denies_a_relayed_request() {
    let mut router = cut_off(0, 0);
    router.connect_opened();
    let newer = admit(
        &mut router,
        Some(Relayed {
            version: 2,
            attempts: 0,
        }),
    );
    assert!(matches!(newer, Err(Denial::NotReady)), "{newer:?}");
}

/// Guards against more attempts than the route allows, and against counts that overflow.
#[test]
fn attempts_of_the_relaying_host_count() {
    for (before, retries) in [(0, 2), (1, 1), (2, 0), (u32::MAX, 0)] {
        let mut router = cut_off(0, 0);
        router.connect_opened();
        let relayed = Some(Relayed {
            version: 1,
            attempts: before,
        });
        let mut call = admit(&mut router, relayed).unwrap();
        let mut retried = 0;
        loop {
            let placement = router.place(NOW, &mut call).unwrap();
            let in_flight = router.begin_attempt(NOW, &mut call, &placement);
            match router.end_attempt(NOW, &mut call, in_flight, Ending::Failed) {
                Next::Again => retried += 1,
                Next::Fail(_) => break,
            }
        }
        assert_eq!(retried, retries, "{before} attempts before");
    }
}

/// Guards against trying endpoint after endpoint for each request while none can be reached.
#[test]
fn one_endpoint_is_tried_when_no_host_can_be_asked() {
    let mut router = cut_off(0, 0);
    let mut call = admit(&mut router, None).unwrap();
    assert_eq!(router.next_relay(&mut call), None);
    let placement = router.place(NOW, &mut call).unwrap();
    let in_flight = router.begin_attempt(NOW, &mut call, &placement);
    let next = router.end_attempt(NOW, &mut call, in_flight, Ending::NotSent);
    assert!(
        matches!(next, Next::Fail(Failure::NotRun { .. })),
        "{next:?}"
    );
}

/// Guards against a refusal that says "not run" of a request that an endpoint may have run.
#[test]
fn a_request_that_may_have_run_is_not_said_not_to_have_run() {
    let mut router = cut_off(1, 0);
    router.connect_opened();
    let mut call = admit(&mut router, None).unwrap();
    let placement = router.place(NOW, &mut call).unwrap();
    let in_flight = router.begin_attempt(NOW, &mut call, &placement);
    router.end_attempt(NOW, &mut call, in_flight, Ending::Broken);
    let failure = router.unrelayed_failure(NOW, &call, Duration::ZERO);
    assert_eq!(failure, Failure::Lost);
}
