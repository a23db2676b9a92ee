//! Tests of bounds on all hosts together that no host can count by itself.

#[path = "harness/router.rs"]
mod harness;

use std::time::Duration;

use route::directory::Absence;
use route::{Ending, Next};

const SIZES: [usize; 5] = [6, 30, 84, 300, 985];
const NOW: Duration = Duration::from_secs(100);

/// Guards against each host of a fleet that starts using the whole slack of the retry budget,
/// before it knows that there are others.
#[test]
fn starting_hosts_together_keep_to_the_retry_budget() {
    const REQUESTS: u32 = 2;
    let mut violations = Vec::new();
    for hosts in SIZES {
        let (mut retries, mut requests) = (0, 0);
        for seed in 0..hosts {
            let mut router = harness::router(None, seed as u64);
            let entry = |nr| harness::entry(&format!("e{nr}"), "v1", Duration::ZERO);
            router.update_listing(NOW, (0..4).map(entry).collect(), Absence::Gone);
            for _ in 0..REQUESTS {
                requests += 1;
                let mut call = router.admit(NOW, harness::request("q")).unwrap();
                loop {
                    let placement = router.place(NOW, &mut call).unwrap();
                    let in_flight = router.begin_attempt(NOW, &mut call, &placement);
                    match router.end_attempt(NOW, &mut call, in_flight, Ending::Failed) {
                        Next::Again => retries += 1,
                        Next::Fail(_) => break,
                    }
                }
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
