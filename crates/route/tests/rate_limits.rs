//! Tests of the request rate that all hosts together send to endpoints that state one.

#[path = "rate_limits/fleet.rs"]
mod fleet;
#[path = "harness/router.rs"]
mod harness;

use std::time::Duration;

use fleet::Fleet;

const SECOND: Duration = Duration::from_secs(1);

fn check_bound(fleet: &Fleet, hosts: usize) {
    let (most, bound) = (fleet.most_in_window(), fleet.max_in_window());
    assert!(
        f64::from(most) <= bound,
        "{hosts} hosts: {most} requests in 4 s, allowed {bound}"
    );
}

/// Guards against each host keeping to a stated rate by itself, so that the sum grows with the
/// number of hosts.
#[test]
fn all_hosts_together_keep_to_a_stated_rate() {
    let mut violations = Vec::new();
    for (seed, hosts) in [6, 30, 84, 300, 985].into_iter().enumerate() {
        for rate in [0.4, 1.5, 7.6] {
            let mut fleet = Fleet::new(hosts, rate, seed as u64);
            fleet.run();
            let (most, bound) = (fleet.most_in_window(), fleet.max_in_window());
            if most == 0 || f64::from(most) > bound {
                violations.push(format!(
                    "{hosts} hosts, {rate} a second: {most} requests in 4 s, allowed {bound}"
                ));
            }
        }
    }
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

/// Guards against refusing requests that an endpoint would take.
#[test]
fn a_stated_rate_is_used() {
    const SECONDS: u32 = 30;
    for hosts in [1, 6, 84, 985] {
        for rate in [0.4, 1.1, 1.5] {
            let mut fleet = Fleet::with_endpoints(1, hosts, rate, 5);
            fleet.run_for(3 * SECOND, |_| true);
            fleet.clear();
            fleet.run_for(SECONDS * SECOND, |_| true);
            let used = f64::from(u32::try_from(fleet.requests()).unwrap());
            let share = used / (rate * f64::from(SECONDS));
            assert!(
                (0.9..=1.0).contains(&share),
                "{hosts} hosts, {rate} a second: {share:.2} of it used"
            );
        }
    }
}

/// Guards against hosts that the endpoint hasn't told yet sending a request each: in a large fleet
/// these alone are more than it takes.
#[test]
fn hosts_that_were_not_told_keep_to_the_rate() {
    for hosts in [6, 84, 985] {
        let mut fleet = Fleet::new(hosts, 1.5, 1);
        fleet.run_for(3 * SECOND, |nr| nr < 2);
        fleet.clear();
        fleet.run_for(8 * SECOND, |_| true);
        check_bound(&fleet, hosts);
        assert!(fleet.requests() > 0, "{hosts} hosts: no request");
    }
}

/// Guards against a rate that is no longer stated keeping hosts from an endpoint.
#[test]
fn all_hosts_use_an_endpoint_again_that_states_no_rate() {
    for hosts in [6, 84, 985] {
        let mut fleet = Fleet::new(hosts, 1.5, 2);
        fleet.run_for(4 * SECOND, |_| true);
        fleet.set_rate(0.0);
        fleet.run_for(3 * SECOND, |_| true);
        fleet.clear();
        fleet.run_for(SECOND, |_| true);
        // A host has 20 requests in a second and four endpoints.
        let requests = fleet.requests();
        assert!(
            requests > 2 * hosts,
            "{hosts} hosts: {requests} requests in 1 s"
        );
    }
}

/// Guards against an endpoint that nobody uses because the hosts that may have no requests, so
/// that nobody learns that it takes more again.
#[test]
fn the_rate_is_used_whichever_hosts_have_requests() {
    for (hosts, seconds) in [(6, 20), (30, 45)] {
        for requesting in 0..3 {
            let mut fleet = Fleet::new(hosts, 1.5, 3);
            fleet.run_for(3 * SECOND, |_| true);
            fleet.clear();
            fleet.run_for(seconds * SECOND, |nr| nr == requesting);
            let requests = fleet.requests();
            assert!(requests > 0, "{hosts} hosts, host {requesting}: no request");
        }
    }
}

/// Guards against all hosts using at once a rate that nobody used for a while.
#[test]
fn all_hosts_keep_to_the_rate_after_a_pause() {
    for hosts in [6, 84, 985] {
        let mut fleet = Fleet::new(hosts, 1.5, 4);
        fleet.run_for(3 * SECOND, |_| true);
        fleet.run_for(60 * SECOND, |_| false);
        fleet.clear();
        fleet.run_for(8 * SECOND, |_| true);
        check_bound(&fleet, hosts);
    }
}

/// Guards against hosts that restart, and were not told, using the rate beside the others.
#[test]
fn all_hosts_keep_to_the_rate_after_a_restart() {
    for hosts in [6, 84, 985] {
        let mut fleet = Fleet::new(hosts, 1.5, 6);
        fleet.run_for(4 * SECOND, |_| true);
        fleet.restart(hosts / 3);
        fleet.run_for(SECOND, |_| true);
        fleet.clear();
        fleet.run_for(8 * SECOND, |_| true);
        check_bound(&fleet, hosts);
    }
}

/// Guards against both sides of a network partition using the whole rate.
#[test]
fn all_hosts_keep_to_the_rate_in_a_partition() {
    for hosts in [6, 84, 985] {
        let mut fleet = Fleet::new(hosts, 1.5, 7);
        fleet.partition();
        fleet.run_for(3 * SECOND, |_| true);
        fleet.clear();
        fleet.run_for(20 * SECOND, |_| true);
        check_bound(&fleet, hosts);
    }
}

/// Guards against hosts that go on with a former, higher rate.
#[test]
fn all_hosts_keep_to_a_rate_that_falls() {
    for hosts in [6, 84, 985] {
        let mut fleet = Fleet::new(hosts, 7.6, 8);
        fleet.run_for(4 * SECOND, |_| true);
        fleet.set_rate(1.1);
        fleet.run_for(2 * SECOND, |_| true);
        fleet.clear();
        fleet.run_for(8 * SECOND, |_| true);
        check_bound(&fleet, hosts);
        assert!(fleet.requests() > 0, "{hosts} hosts: no request");
    }
}

/// Guards against hosts that have just started sending requests before they learn of the rate.
#[test]
fn hosts_that_start_keep_to_the_rate_from_their_first_request() {
    let mut violations = Vec::new();
    for hosts in [6, 30, 84, 300, 985] {
        let mut fleet = Fleet::new(hosts, 1.5, 9);
        fleet.run_for(4 * SECOND, |_| true);
        fleet.clear();
        fleet.restart(hosts / 3);
        fleet.run_for(8 * SECOND, |_| true);
        let (most, bound) = (fleet.most_in_window(), fleet.max_in_window());
        if f64::from(most) > bound {
            violations.push(format!(
                "{hosts} hosts: {most} requests in 4 s, allowed {bound}"
            ));
        }
    }
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

/// Guards against each side of a network partition dividing the rate among its own hosts once it
/// has forgotten those of the other side.
#[test]
fn all_hosts_keep_to_the_rate_in_a_long_partition() {
    let mut violations = Vec::new();
    for hosts in [6, 84, 985] {
        for rate in [1.5, 7.6] {
            let mut fleet = Fleet::new(hosts, rate, 10);
            fleet.partition();
            fleet.run_for(3 * SECOND, |_| true);
            fleet.forget_other_half();
            fleet.clear();
            fleet.run_for(10 * SECOND, |_| true);
            let (most, bound) = (fleet.most_in_window(), fleet.max_in_window());
            if f64::from(most) > bound {
                violations.push(format!(
                    "{hosts} hosts, {rate} a second: {most} requests in 4 s, allowed {bound}"
                ));
            }
        }
    }
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}
