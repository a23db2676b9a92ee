//! Tests of the aggregation of roll-out evidence over all hosts.

use std::time::Duration;

use kernel::HostName;
use route::rollout::{Observation, Order, Scope, Update};
use route::{Revision, Rollout};

const NOW: Duration = Duration::from_secs(100);

fn rollout() -> Rollout {
    let order = Order {
        service: "pool".into(),
        release: "v2".into(),
        duration: Duration::from_secs(20),
        revision: Revision::default(),
    };
    Rollout::new(order, NOW, 0.1, 295)
}

fn record_responses(rollout: &mut Rollout, responses: u32, failures: u32) {
    for nr in 0..responses {
        let observation = Observation {
            failed: nr < failures,
            ..Observation::default()
        };
        rollout.record_response(route::rollout::Side::New, &observation);
    }
}

fn name(nr: usize) -> HostName {
    HostName::from(format!("host-{nr}"))
}

fn next_update(rollout: &mut Rollout, now: Duration) -> Update {
    rollout.build_update(now, std::iter::empty(), Scope::Delta)
}

/// In a large fleet each host hears only a few others directly, so a bad release would be detected
/// late. Partial sums are aggregated at one host, which publishes the total.
#[test]
fn evidence_reaches_all_hosts() {
    // Host 3 reports to 2, 2 to 1, and 1 to 0, which publishes the total to 3.
    let mut hosts: Vec<Rollout> = (0..4).map(|_| rollout()).collect();
    for it in &mut hosts {
        record_responses(it, 10, 4);
    }
    for from in [3, 2, 1] {
        let sum = hosts[from].partial_sum(NOW, 0, u8::try_from(from).unwrap());
        let mut update = next_update(&mut hosts[from], NOW);
        update.partial_sums.push(sum);
        hosts[from - 1].apply_update(NOW, &name(from), &update);
    }
    hosts[0].publish_total(NOW, 0, 77);
    let update = next_update(&mut hosts[0], NOW);
    assert_eq!(update.totals.len(), 1);
    assert!(
        hosts[3].apply_update(NOW, &name(0), &update),
        "the total is new to host 3"
    );
    let pooled = hosts[3].pooled();
    assert_eq!((pooled.new.responses, pooled.new.failures), (40, 16));
    // A total is forwarded only once.
    assert!(!hosts[3].apply_update(NOW, &name(0), &update));
    assert_eq!(next_update(&mut hosts[3], NOW).totals.len(), 1);
    assert_eq!(next_update(&mut hosts[3], NOW).totals.len(), 0);
}

/// The partial sum of a neighbour that died or reports to another host expires after two seconds,
/// so that it isn't counted twice.
#[test]
fn partial_sums_of_lost_neighbours_expire() {
    let (mut root, mut leaf) = (rollout(), rollout());
    record_responses(&mut leaf, 10, 4);
    let sum = leaf.partial_sum(NOW, 0, 1);
    let mut update = next_update(&mut leaf, NOW);
    update.partial_sums.push(sum);
    root.apply_update(NOW, &name(1), &update);
    let responses = |after: u64| {
        let now = NOW + Duration::from_millis(after);
        root.partial_sum(now, 0, 0).evidence.new.responses
    };
    assert_eq!(
        (responses(0), responses(1_900), responses(2_100)),
        (10, 10, 0)
    );
}

/// Sending all sessions that stay on the old release in each update would waste bandwidth during
/// the whole trial.
#[test]
fn pinned_sessions_are_sent_once() {
    let (mut sender, mut receiver) = (rollout(), rollout());
    let pinned = [1, 2, 3];
    let mut sent = |scope| {
        sender
            .build_update(NOW, pinned.into_iter(), scope)
            .pinned_sessions
            .len()
    };
    assert_eq!(sent(Scope::Delta), 3);
    assert_eq!(sent(Scope::Delta), 0);
    assert_eq!(sent(Scope::Full), 3);
    let update = sender.build_update(NOW, pinned.into_iter(), Scope::Full);
    assert!(receiver.apply_update(NOW, &name(1), &update));
    assert_eq!(next_update(&mut receiver, NOW).pinned_sessions.len(), 3);
    assert_eq!(next_update(&mut receiver, NOW).pinned_sessions.len(), 0);
}
