//! Tests of the tokens that a host's requests hold in the memory of endpoints.

#[allow(dead_code, reason = "other test programs use the rest")]
#[path = "harness/router.rs"]
mod harness;

use std::sync::Arc;
use std::time::Duration;

use kernel::Incarnation;
use route::config::{Config, Engine, Limits, Service};
use route::directory::Absence;
use route::endpoint::Entry;
use route::{Call, Ending, InFlight, RequestProfile, Router};

const MEMORY_TOKENS: u64 = 400_000;
const NOW: Duration = Duration::from_secs(100);

fn entry(incarnation: u64) -> Entry {
    Entry {
        incarnation: Some(Incarnation(incarnation)),
        ..harness::entry("e-1", "v1", Duration::ZERO)
    }
}

/// Returns a router with one endpoint of the given memory.
fn router(engine: Option<Engine>) -> Router {
    let mut router = harness::router(None, 1);
    let old = Arc::clone(router.config().unwrap());
    let service = Service {
        engine,
        ..old.service(&"pool".into()).unwrap().as_ref().clone()
    };
    let route = old.route("shop", "/").unwrap().as_ref().clone();
    let config = Config::new(2, Limits::default(), vec![service], Vec::new(), vec![route]);
    router.configure(Arc::new(config));
    router.update_listing(NOW, vec![entry(1)], Absence::Gone);
    router
}

fn engine() -> Engine {
    Engine {
        slots: 16,
        memory_tokens: MEMORY_TOKENS,
        models: Vec::new(),
    }
}

fn begin(router: &mut Router, prompt_tokens: u64, output_tokens: u64) -> (Call, InFlight) {
    let mut request = harness::request("q");
    request.profile = RequestProfile {
        prompt_tokens,
        output_tokens,
        ..RequestProfile::default()
    };
    let mut call = router.admit(NOW, request).unwrap();
    let placement = router.place(NOW, &mut call).unwrap();
    let in_flight = router.begin_attempt(NOW, &mut call, &placement);
    (call, in_flight)
}

/// Returns the tokens used and left at the endpoint that takes requests.
fn memory(router: &Router) -> (u64, Option<u64>) {
    let service = "pool".into();
    let mut endpoints = router.directory().endpoints_of(&service);
    let (_, it) = endpoints.find(|(_, it)| it.takes_work()).unwrap();
    (it.memory_used(), router.memory_left(it))
}

/// Guards against endpoints that seem ever fuller, or empty while they hold long prompts.
#[test]
fn tokens_count_from_the_start_of_an_attempt_to_its_end() {
    let mut router = router(Some(engine()));
    let (mut first, first_in_flight) = begin(&mut router, 54_600, 400);
    let (_second, second_in_flight) = begin(&mut router, 826, 174);
    assert_eq!(memory(&router), (56_000, Some(MEMORY_TOKENS - 56_000)));
    router.end_attempt(NOW, &mut first, first_in_flight, Ending::Answered);
    assert_eq!(memory(&router), (1_000, Some(MEMORY_TOKENS - 1_000)));
    router.cancel_attempt(NOW, second_in_flight);
    assert_eq!(memory(&router), (0, Some(MEMORY_TOKENS)));
}

/// Guards against an overflow or a sum that never returns to zero because of a caller's count.
#[test]
fn absurd_counts_neither_overflow_nor_stay() {
    let mut router = router(Some(engine()));
    let mut attempts: Vec<_> = (0..3)
        .map(|_| begin(&mut router, u64::MAX, u64::MAX))
        .collect();
    assert_eq!(memory(&router).1, Some(0));
    for (call, in_flight) in attempts.drain(..) {
        drop(call);
        router.cancel_attempt(NOW, in_flight);
    }
    assert_eq!(memory(&router), (0, Some(MEMORY_TOKENS)));
}

/// Guards against a new process that counts as full of requests that ended with the former one.
#[test]
fn a_restarted_endpoint_holds_nothing() {
    let mut router = router(Some(engine()));
    let (mut call, in_flight) = begin(&mut router, 30_000, 0);
    router.update_listing(NOW, vec![entry(2)], Absence::Gone);
    assert_eq!(memory(&router), (0, Some(MEMORY_TOKENS)));
    let (_second, _in_flight) = begin(&mut router, 1_000, 0);
    router.end_attempt(NOW, &mut call, in_flight, Ending::Broken);
    assert_eq!(memory(&router).0, 1_000);
}

/// Guards against a limit for endpoints that run no models.
#[test]
fn endpoints_without_stated_memory_have_no_limit() {
    let mut router = router(None);
    let (_call, _in_flight) = begin(&mut router, 30_000, 0);
    assert_eq!(memory(&router), (30_000, None));
}
