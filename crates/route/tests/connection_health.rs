//! Tests that a host's lack of connections isn't held against an endpoint.

#[allow(dead_code, reason = "other test programs use the rest")]
#[path = "harness/router.rs"]
mod harness;

use std::time::Duration;

use route::directory::Absence;
use route::{Ending, Next, Router};

const NOW: Duration = Duration::from_secs(100);

/// What is known about the endpoint when an attempt ends without being sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cause {
    /// No connection to it could be opened, or it reset one.
    Endpoint,
    /// All connections of this host's share were in use.
    Share,
}

fn with_endpoints() -> Router {
    let mut router = harness::router(None, 1);
    let entry = |id| harness::entry(id, "v1", Duration::ZERO);
    let listed = ["e-1", "e-2"].map(entry).to_vec();
    router.update_listing(NOW, listed, Absence::Gone);
    router
}

/// Returns the number of ejected endpoints after an attempt that wasn't sent.
fn ejected_after(cause: Cause) -> usize {
    let mut router = with_endpoints();
    let mut call = router.admit(NOW, harness::request("q1")).unwrap();
    let placement = router.place(NOW, &mut call).unwrap();
    let mut in_flight = router.begin_attempt(NOW, &mut call, &placement);
    match cause {
        Cause::Endpoint => {}
        Cause::Share => in_flight.connection_unavailable(),
    }
    let next = router.end_attempt(NOW, &mut call, in_flight, Ending::NotSent);
    assert_eq!(next, Next::Again);
    let other = router.place(NOW, &mut call).unwrap();
    assert_ne!(other.endpoint, placement.endpoint);
    router.directory().endpoint_counts(NOW).1
}

/// Guards against ejecting an endpoint that works because this host uses all its connections to
/// it. The request goes to another endpoint in either case.
#[test]
fn an_endpoint_is_not_ejected_for_lack_of_a_connection_of_this_host() {
    assert_eq!(ejected_after(Cause::Endpoint), 1);
    assert_eq!(ejected_after(Cause::Share), 0);
}
