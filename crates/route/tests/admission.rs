//! Tests of the admission of requests while capacity is short, with a fleet in virtual time.

#[path = "admission/engine.rs"]
mod engine;
#[path = "admission/fleet.rs"]
mod fleet;
#[path = "admission/host.rs"]
mod host;
#[path = "admission/site.rs"]
mod site;

use std::time::Duration;

use fleet::{Callers, Checks, Fleet, Load, Outcomes};
use host::Host;
use route::{Ending, Failure, LoadPolicy, Shortage};
use site::{PLAIN, TIMEOUT};

/// The time in which hosts learn the usual load.
const LEARNING: Duration = Duration::from_secs(40);
/// The length of a burst.
const BURST: Duration = Duration::from_millis(6_500);
/// The usual load of the customers, as parts of the whole.
const SHARES: [f64; 5] = [0.2, 0.35, 0.25, 0.15, 0.05];

fn loads(rate: f64, shares: [f64; 5], until: Duration) -> Vec<Load> {
    let shares = shares.into_iter().enumerate();
    let load = |(customer, share)| Load {
        customer,
        rate: rate * share,
        until,
    };
    shares.filter(|it| it.1 > 0.0).map(load).collect()
}

/// Lets the fleet learn the usual load, and forgets the outcomes so far.
fn learn(fleet: &mut Fleet, rate: f64, shares: [f64; 5]) {
    fleet.run(&loads(rate, shares, LEARNING), LEARNING);
    fleet.reset();
}

/// Runs a burst of the first customer: 7.5 times its usual load, 1.4 times the capacity in all.
fn burst(mut fleet: Fleet) -> Fleet {
    let rate = 0.6 * fleet.capacity();
    learn(&mut fleet, rate, SHARES);
    let mut shares = SHARES;
    shares[0] *= 7.5;
    let until = BURST + 2 * TIMEOUT;
    fleet.run(&loads(rate, shares, BURST), until);
    fleet
}

fn ratio(part: usize, whole: usize) -> f64 {
    let count = |it: usize| f64::from(u32::try_from(it).unwrap());
    count(part) / count(whole)
}

/// Returns the fraction of the requests of customers other than the first that were answered in
/// the target latency. Asserts that none of them was refused or late.
fn others_on_time(fleet: &Fleet) -> f64 {
    let mut sum = Outcomes::default();
    for it in &fleet.outcomes[1..] {
        assert_eq!(
            (it.no_capacity, it.over_share, it.late),
            (0, 0, 0),
            "{it:?}"
        );
        sum.sent += it.sent;
        sum.on_time += it.on_time;
    }
    ratio(sum.on_time, sum.sent)
}

/// Guards against one customer with 7.5 times its usual load delaying all others, at hosts that
/// receive reports of all endpoints.
#[test]
fn a_burst_of_one_customer_delays_no_other() {
    let standard = burst(Fleet::new(LoadPolicy::Standard, 6, 6, Callers::Patient));
    let contended = burst(Fleet::new(LoadPolicy::Contended, 6, 6, Callers::Patient));
    let (before, after) = (others_on_time(&standard), others_on_time(&contended));
    assert!(before < 0.5 && after > 0.8, "{before} {after}");
    let (before, after) = (&standard.outcomes[0], &contended.outcomes[0]);
    assert!(
        after.over_share > 0 && after.on_time >= before.on_time,
        "{before:?} {after:?}"
    );
    // Its usual load is two fifteenths of what it sent.
    assert!(after.on_time * 15 > after.sent * 2, "{after:?}");
}

/// Guards against a single customer that is delayed although the others are on time together.
#[test]
fn a_burst_leaves_each_other_customer_on_time() {
    for callers in [Callers::Patient, Callers::Eager] {
        let fleet = burst(Fleet::new(LoadPolicy::Contended, 6, 6, callers));
        for it in &fleet.outcomes[1..] {
            assert!(it.on_time * 100 >= it.sent * 85, "{callers:?}: {it:?}");
        }
    }
}

/// Guards against the same where each host has fresh reports of a fraction of the endpoints only.
#[test]
fn a_burst_is_contained_by_hosts_that_know_few_endpoints() {
    let fleet = burst(Fleet::new(LoadPolicy::Contended, 66, 90, Callers::Patient));
    assert!(fleet.outcomes[0].over_share > 0);
    let on_time = others_on_time(&fleet);
    assert!(on_time > 0.95, "{on_time}");
}

/// Guards against callers that retry at once, three times, taking the capacity of others, and
/// against more requests reaching endpoints than without admission.
#[test]
fn retries_at_once_are_refused_and_delay_no_other_customer() {
    let standard = burst(Fleet::new(LoadPolicy::Standard, 6, 6, Callers::Eager));
    let contended = burst(Fleet::new(LoadPolicy::Contended, 6, 6, Callers::Eager));
    let eager = &contended.outcomes[0];
    assert!(eager.early_retry > 100, "{eager:?}");
    let (before, after) = (others_on_time(&standard), others_on_time(&contended));
    assert!(before < 0.5 && after > 0.8, "{before} {after}");
    assert!(contended.received() <= standard.received());
}

/// Guards against a customer that is always large being cut down to an equal share, and against
/// the small one beside it being starved, when a third of the endpoints is lost.
#[test]
fn a_customer_that_is_always_large_keeps_its_share() {
    let shares = [0.85, 0.15, 0.0, 0.0, 0.0];
    let mut fleet = Fleet::new(LoadPolicy::Contended, 6, 6, Callers::Patient);
    let rate = 0.75 * fleet.capacity();
    learn(&mut fleet, rate, shares);
    fleet.list(4);
    fleet.run(&loads(rate, shares, BURST), BURST + 2 * TIMEOUT);
    for it in &fleet.outcomes[..2] {
        assert_eq!(it.over_share, 0, "{it:?}");
        assert!(it.answered >= it.sent * 9 / 10, "{it:?}");
    }
}

/// Guards against requests that wait in vain until their deadline when one endpoint is left of
/// three, and against refusing the most urgent ones as early as others.
#[test]
fn one_endpoint_left_of_three_refuses_what_it_cannot_start() {
    let run = |policy| {
        let mut fleet = Fleet::new(policy, 3, 3, Callers::Patient);
        let rate = 0.7 * fleet.capacity();
        learn(&mut fleet, rate, SHARES);
        fleet.list(1);
        let time = Duration::from_secs(20);
        fleet.run(&loads(rate, SHARES, time), time + 2 * TIMEOUT);
        fleet
    };
    let sum = |fleet: &Fleet, of: fn(&Outcomes) -> usize| -> usize {
        fleet.outcomes.iter().map(of).sum()
    };
    let (standard, contended) = (run(LoadPolicy::Standard), run(LoadPolicy::Contended));
    let (before, after) = (sum(&standard, |it| it.late), sum(&contended, |it| it.late));
    assert!(after * 2 < before, "{after} late requests, {before} before");
    assert!(sum(&contended, |it| it.no_capacity) > 0);
    assert!(contended.urgent_refusals * 10 < contended.plain_refusals);
    assert!(sum(&contended, |it| it.answered) * 10 > sum(&standard, |it| it.answered) * 9);
}

/// Guards against refusals by chance: customers at their usual load are not refused, although most
/// endpoints have queues at times.
#[test]
fn usual_load_near_capacity_is_not_refused() {
    let mut fleet = Fleet::new(LoadPolicy::Contended, 6, 6, Callers::Patient);
    let rate = 0.9 * fleet.capacity();
    learn(&mut fleet, rate, SHARES);
    let time = Duration::from_mins(1);
    fleet.run(&loads(rate, SHARES, time), time + 2 * TIMEOUT);
    let refused = |it: &Outcomes| it.no_capacity + it.over_share + it.early_retry;
    let (sent, refused) = fleet
        .outcomes
        .iter()
        .fold((0, 0), |sum, it| (sum.0 + it.sent, sum.1 + refused(it)));
    assert!(refused * 1_000 <= sent, "{refused} of {sent}");
}

/// Guards against starving a customer that was small or absent before and sends no more than an
/// equal share of the requests.
#[test]
fn a_new_customer_gets_an_equal_share() {
    let mut fleet = Fleet::new(LoadPolicy::Contended, 6, 6, Callers::Patient);
    let rate = 0.75 * fleet.capacity();
    learn(&mut fleet, rate, [0.4, 0.3, 0.2, 0.1, 0.0]);
    fleet.list(4);
    let shares = [0.35, 0.25, 0.15, 0.05, 0.2];
    fleet.run(&loads(rate, shares, BURST), BURST + 2 * TIMEOUT);
    let new = &fleet.outcomes[4];
    assert_eq!((new.over_share, new.late), (0, 0), "{new:?}");
}

/// Guards against refusals by share at hosts that started some seconds ago, in which a large
/// customer happened to send little.
#[test]
fn a_host_that_starts_refuses_by_deadline_only() {
    let mut fleet = Fleet::new(LoadPolicy::Contended, 6, 6, Callers::Patient);
    let rate = 0.75 * fleet.capacity();
    let before = Duration::from_secs(3);
    fleet.run(&loads(rate, [0.0, 0.4, 0.2, 0.2, 0.2], before), before);
    fleet.list(3);
    let shares = [0.6, 0.1, 0.1, 0.1, 0.1];
    fleet.run(&loads(rate, shares, BURST), BURST + 2 * TIMEOUT);
    for it in &fleet.outcomes {
        assert_eq!(it.over_share, 0, "{it:?}");
    }
}

/// Guards against any change for deployments that don't ask for it.
#[test]
fn nothing_changes_under_the_standard_policy() {
    let fleet = || Fleet::new(LoadPolicy::Standard, 6, 6, Callers::Patient);
    let checked = burst(fleet());
    let unchecked = burst(fleet().with_checks(Checks::Omitted));
    assert_eq!(checked.outcomes, unchecked.outcomes);
    assert!(checked.trace == unchecked.trace);
}

/// Guards against callers that are refused together and return together.
#[test]
fn refused_callers_return_spread_over_time() {
    let mut host = Host::new(3);
    host.learn();
    host.report_waiting(1_000);
    let mut returns: Vec<_> = (0..100)
        .map(|nr| match host.check("c0", PLAIN, nr) {
            Err(Failure::Overloaded { retry_after, .. }) => retry_after,
            other => panic!("{other:?}"),
        })
        .collect();
    returns.sort_unstable();
    assert!(returns[99] <= TIMEOUT / 3, "{returns:?}");
    assert!(
        returns[75].abs_diff(returns[25]) > TIMEOUT / 20,
        "{returns:?}"
    );
}

/// Guards against refusals while an endpoint could take the request for all that is known.
#[test]
fn an_endpoint_without_a_fresh_report_is_taken_to_have_room() {
    let mut host = Host::new(3);
    host.learn();
    host.report_waiting(1_000);
    assert_eq!(host.reason("c0", PLAIN, 1), Some("no_capacity"));
    host.list(4);
    assert_eq!(host.reason("c0", PLAIN, 2), None);
    host.list(3);
    host.advance(Duration::from_millis(1_500));
    assert_eq!(host.reason("c0", PLAIN, 3), None);
}

/// Guards against a refusal that isn't true: part of the response was sent, or it may have run.
#[test]
fn a_request_that_has_started_or_may_have_run_is_not_refused() {
    let mut host = Host::new(3);
    host.learn();
    let (mut started, mut ran) = (host.admit("c0", PLAIN, 1), host.admit("c0", PLAIN, 2));
    let mut refused = host.admit("c0", PLAIN, 3);
    for call in [&mut started, &mut ran, &mut refused] {
        assert_eq!(host.check_call(call), Ok(()));
    }
    started.start_stream();
    host.attempt(&mut ran, Ending::Broken);
    host.attempt(&mut refused, Ending::Refused);
    host.report_waiting(1_000);
    assert_eq!(host.check_call(&mut started), Ok(()));
    assert_eq!(host.check_call(&mut ran), Ok(()));
    let refusal = host.check_call(&mut refused);
    let is_true = matches!(
        refusal,
        Err(Failure::Overloaded {
            shortage: Shortage::NoCapacity { .. },
            ..
        })
    );
    assert!(is_true, "{refusal:?}");
}

/// Guards against refusing the first requests of a customer at a host that receives few.
#[test]
fn a_host_with_little_traffic_does_not_refuse_because_of_rounding() {
    let mut host = Host::new(3);
    host.learn_little();
    host.report_waiting(1);
    for nr in 0..4 {
        assert_eq!(host.reason("c1", PLAIN, nr), None);
    }
}

/// Guards against taking queues at a few of many endpoints for a shortage of all.
#[test]
fn queues_at_few_of_many_endpoints_are_no_shortage() {
    let mut host = Host::new(3);
    host.learn_little();
    host.list(90);
    host.report_waiting_at(3, 1);
    for nr in 0..50 {
        assert_eq!(host.reason("c1", PLAIN, nr), None);
    }
    host.report_waiting_at(12, 1);
    let refused = (50..100).filter_map(|nr| host.reason("c1", PLAIN, nr));
    assert!(refused.count() > 0);
}

/// Guards against unbounded memory under a flood of refusals, and against forgetting the first.
#[test]
fn the_number_of_remembered_refusals_is_bounded() {
    let mut host = Host::new(3);
    host.learn();
    host.report_waiting(1_000);
    for nr in 0..5_000 {
        assert_eq!(host.reason("c0", PLAIN, nr), Some("no_capacity"));
    }
    assert_eq!(host.reason("c0", PLAIN, 0), Some("early_retry"));
    assert_eq!(host.reason("c1", PLAIN, 0), Some("no_capacity"));
    assert_eq!(host.reason("c0", PLAIN, 4_999), Some("no_capacity"));
}

/// Guards against refusing a caller that returned when it was asked to.
#[test]
fn a_retry_after_the_time_is_not_early() {
    let mut host = Host::new(3);
    host.learn();
    host.report_waiting(1_000);
    assert_eq!(host.reason("c0", PLAIN, 1), Some("no_capacity"));
    host.advance(TIMEOUT / 3);
    host.report_waiting(1);
    assert_eq!(host.reason("c0", PLAIN, 1), None);
}
