//! Tests of how evenly a fleet of hosts loads endpoints while load reports are old.

#[path = "even_load/customer.rs"]
mod customer;
#[path = "even_load/demand.rs"]
mod demand;
#[path = "even_load/endpoint.rs"]
mod endpoint;
#[path = "even_load/exchange.rs"]
mod exchange;
#[path = "even_load/fleet.rs"]
mod fleet;
#[path = "harness/router.rs"]
mod harness;
#[path = "even_load/hosts.rs"]
mod hosts;
#[path = "even_load/kind.rs"]
mod kind;
#[path = "even_load/prompt.rs"]
mod prompt;
#[path = "even_load/request.rs"]
mod request;
#[path = "even_load/scenario.rs"]
mod scenario;
#[path = "even_load/tally.rs"]
mod tally;

use std::sync::LazyLock;
use std::time::Duration;

use route::LoadPolicy;

use customer::Customer;
use fleet::Fleet;
use kind::Kind;
use scenario::{Machines, Peering, Scenario};
use tally::Tally;

const POLICIES: [LoadPolicy; 2] = [LoadPolicy::Standard, LoadPolicy::Contended];
const CUSTOMERS: [Customer; 2] = [Customer::Voicemail, Customer::Courier];

/// The results of both policies at 75 hosts, 90 endpoints and half of capacity.
static HALF_LOAD: LazyLock<[Vec<Tally>; 2]> = LazyLock::new(|| {
    const SEEDS: [u64; 3] = [1, 2, 3];
    compare(&|policy| {
        let of = |customer| SEEDS.map(|seed| Scenario::new(policy, customer).with_seed(seed));
        CUSTOMERS.into_iter().flat_map(of).collect()
    })
});

/// Plays the scenarios of both policies at the same time, and prints the results.
fn compare(scenarios: &(impl Fn(LoadPolicy) -> Vec<Scenario> + Sync)) -> [Vec<Tally>; 2] {
    let play = |policy| scenarios(policy).into_iter().map(Fleet::run).collect();
    let results: [Vec<Tally>; 2] = std::thread::scope(|scope| {
        let threads = POLICIES.map(|policy| scope.spawn(move || play(policy)));
        threads.map(|it| it.join().unwrap())
    });
    println!("{}", Tally::HEADER);
    for (standard, contended) in results[0].iter().zip(&results[1]) {
        println!("{standard}\n{contended}");
    }
    results
}

/// Returns the sums of a count at half of capacity under both policies.
fn sums(count: impl Fn(&Tally) -> usize) -> (usize, usize) {
    let sum = |it: &Vec<Tally>| it.iter().map(&count).sum();
    let [standard, contended] = &*HALF_LOAD;
    (sum(standard), sum(contended))
}

/// Guards against short requests whose first event is late because of other prompts.
#[test]
fn contended_halves_waits_beyond_the_target() {
    let (standard, contended) = sums(|it| it.blocked);
    assert!(standard > 0, "no request waits beyond its target");
    assert!(
        contended * 2 <= standard,
        "short requests that wait beyond their target: {standard} and {contended}"
    );
}

/// Guards against short requests that endpoints leave without a response because of other
/// prompts until hosts abandon them.
#[test]
fn contended_halves_waits_until_abandonment() {
    let (standard, contended) = sums(|it| it.delayed);
    assert!(standard > 0, "no request waits until it is abandoned");
    assert!(
        contended * 2 <= standard,
        "short requests that wait until they are abandoned: {standard} and {contended}"
    );
}

/// Guards against short waits at the price of more work for endpoints.
#[test]
fn contended_sends_no_more_attempts() {
    let (standard, contended) = sums(|it| it.attempts);
    assert!(
        contended * 100 <= standard * 102,
        "attempts sent: {standard} and {contended}"
    );
}

/// Guards against short requests that are on time at the expense of long ones.
#[test]
fn contended_makes_no_more_long_requests_late() {
    let (standard, contended) = sums(|it| it.late(Kind::Long));
    assert!(
        contended * 10 <= standard * 11,
        "late long requests: {standard} and {contended}"
    );
}

/// Guards against a host that waits for knowledge of the other hosts before it sends requests.
#[test]
fn hosts_without_known_peers_place_all_requests() {
    let of = |policy| {
        let mut scenario = Scenario::new(policy, Customer::Voicemail).brief();
        scenario.peers = Peering::Unknown;
        vec![scenario]
    };
    let results = compare(&of);
    check_placed(&results);
    for it in results.iter().flatten() {
        assert_eq!(it.failed, 0, "denied or without an event: {it}");
    }
}

/// Guards against sizes of a fleet, old reports, overload or reports of pace with which hosts find
/// no endpoint.
#[test]
fn all_requests_are_placed() {
    let of = |policy| {
        let scenario = |customer, hosts, load, age| Scenario {
            hosts,
            load,
            report_age: Duration::from_millis(age),
            ..Scenario::new(policy, customer).brief()
        };
        let mut shared = scenario(Customer::Courier, 75, 0.8, 100);
        shared.machines = Machines::Shared;
        let mut large = scenario(Customer::Voicemail, 75, 0.8, 100);
        (large.endpoints, large.length) = (975, Duration::from_millis(300));
        large.margin = Duration::from_millis(50);
        vec![
            scenario(Customer::Voicemail, 6, 0.8, 3_000),
            scenario(Customer::Courier, 75, 1.1, 3_000),
            scenario(Customer::Voicemail, 985, 0.95, 100),
            shared,
            large,
        ]
    };
    check_placed(&compare(&of));
}

fn check_placed(results: &[Vec<Tally>; 2]) {
    for it in results.iter().flatten() {
        assert!(it.requests > 0, "no request: {it}");
        assert_eq!(it.unplaced, 0, "not placed: {it}");
    }
}

/// Guards against a policy that is better at half of capacity only. Prints a table for comparing
/// ways of scoring.
#[test]
#[ignore = "plays 48 long runs; use a release build"]
fn loads_and_report_ages() {
    let of = |policy| {
        let mut all = Vec::new();
        for customer in CUSTOMERS {
            for load in [0.5, 0.8, 0.95, 1.1] {
                let aged = |age| Scenario {
                    load,
                    report_age: Duration::from_millis(age),
                    ..Scenario::new(policy, customer)
                };
                all.extend([100, 1_000, 3_000].map(aged));
            }
        }
        all
    };
    check_placed(&compare(&of));
}

/// Guards against sizes of a fleet at which hosts find no endpoint or load a few endpoints only.
#[test]
#[ignore = "takes two minutes in a release build"]
fn large_fleets() {
    let of = |policy| {
        let scenario = |(hosts, endpoints)| Scenario {
            hosts,
            endpoints,
            load: 0.8,
            report_age: Duration::from_millis(100),
            length: Duration::from_millis(100),
            margin: Duration::from_millis(20),
            ..Scenario::new(policy, Customer::Voicemail)
        };
        [(6, 9_756), (75, 9_756), (985, 975)].map(scenario).to_vec()
    };
    check_placed(&compare(&of));
}
