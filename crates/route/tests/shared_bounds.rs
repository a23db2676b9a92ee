//! Tests of bounds on all hosts together that no host can count by itself.

#[path = "harness/router.rs"]
mod harness;

use std::time::Duration;

use route::directory::Absence;
use route::{Ending, HostCount, Next, Router};

const SIZES: [u32; 5] = [6, 30, 84, 300, 985];
const NOW: Duration = Duration::from_secs(100);

/// Guards against each host of a fleet that starts using the whole slack of the retry budget,
/// before it knows that there are others.
#[test]
fn starting_hosts_together_keep_to_the_retry_budget() {
    check_retry_budget(|_, _| {});
}

/// Guards against each side of a network partition using the whole slack of the retry budget.
#[test]
fn both_sides_of_a_partition_together_keep_to_the_retry_budget() {
    check_retry_budget(|router, hosts| {
        let live = hosts / 2;
        let silent = hosts - live;
        router.set_host_count(HostCount { live, silent });
    });
}

/// Sends requests that all fail to every host of fleets of several sizes, and checks that their
/// retries together stay within the budget.
fn check_retry_budget(prepare: impl Fn(&mut Router, u32)) {
    const REQUESTS: u32 = 2;
    let mut violations = Vec::new();
    for hosts in SIZES {
        let (mut retries, mut requests) = (0, 0);
        for seed in 0..hosts {
            let mut router = harness::router(None, u64::from(seed));
            prepare(&mut router, hosts);
            let entry = |nr| harness::entry(&format!("e{nr}"), "v1", Duration::ZERO);
            router.update_listing(NOW, (0..4).map(entry).collect(), Absence::Gone);
            for _ in 0..REQUESTS {
                requests += 1;
                retries += fail_request(&mut router);
            }
        }
        let allowed = 0.9 * f64::from(requests) + 10.0;
        if f64::from(retries) > allowed {
            violations.push(format!(
                "{hosts} hosts: {retries} retries of {requests} requests, allowed {allowed}"
            ));
        }
    }
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

/// Sends a request whose attempts all fail, and returns the number of retries.
fn fail_request(router: &mut Router) -> u32 {
    let mut call = router.admit(NOW, harness::request("q")).unwrap();
    let mut retries = 0;
    loop {
        let placement = router.place(NOW, &mut call).unwrap();
        let in_flight = router.begin_attempt(NOW, &mut call, &placement);
        match router.end_attempt(NOW, &mut call, in_flight, Ending::Failed) {
            Next::Again => retries += 1,
            Next::Fail(_) => return retries,
        }
    }
}
