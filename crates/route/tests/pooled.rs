//! Tests of the aggregation of roll-out evidence over all hosts.

use std::time::Duration;

use kernel::HostName;
use route::rollout::{News, Order, Scope, Sighting};
use route::{Revision, Rollout};

const NOW: Duration = Duration::from_secs(100);

fn rollout() -> Rollout {
    let order = Order {
        service: "pool".into(),
        release: "v2".into(),
        over: Duration::from_secs(20),
        revision: Revision::default(),
    };
    Rollout::new(order, NOW, 0.1, 295)
}

fn see(rollout: &mut Rollout, answers: u32, bad: u32) {
    for nr in 0..answers {
        let sighting = Sighting {
            failed: nr < bad,
            ..Sighting::default()
        };
        rollout.answer(route::rollout::Side::New, &sighting);
    }
}

fn name(nr: usize) -> HostName {
    HostName::from(format!("host-{nr}"))
}

fn told(rollout: &mut Rollout, now: Duration) -> News {
    rollout.news(now, std::iter::empty(), Scope::Fresh)
}

/// In a large fleet each host hears only a few others directly, so a bad release would be detected
/// late. Partial sums are aggregated at one host, which publishes the total.
#[test]
fn what_far_hosts_have_seen_is_known_to_all() {
    // Host 3 reports to 2, 2 to 1, and 1 to 0, which publishes the total to 3.
    let mut hosts: Vec<Rollout> = (0..4).map(|_| rollout()).collect();
    for it in &mut hosts {
        see(it, 10, 4);
    }
    for from in [3, 2, 1] {
        let sum = hosts[from].sum(NOW, 0, u8::try_from(from).unwrap());
        let mut news = told(&mut hosts[from], NOW);
        news.sums.push(sum);
        hosts[from - 1].hear(NOW, &name(from), &news);
    }
    hosts[0].gather(NOW, 0, 77);
    let news = told(&mut hosts[0], NOW);
    assert_eq!(news.totals.len(), 1);
    assert!(
        hosts[3].hear(NOW, &name(0), &news),
        "the total is new to host 3"
    );
    let pooled = hosts[3].pooled();
    assert_eq!((pooled.new.answers, pooled.new.bad), (40, 16));
    // A total is forwarded only once.
    assert!(!hosts[3].hear(NOW, &name(0), &news));
    assert_eq!(told(&mut hosts[3], NOW).totals.len(), 1);
    assert_eq!(told(&mut hosts[3], NOW).totals.len(), 0);
}

/// A neighbour dies or reports to another parent. Its partial sum expires after two seconds, so it
/// isn't counted twice.
#[test]
fn what_a_lost_neighbour_told_is_forgotten() {
    let (mut root, mut leaf) = (rollout(), rollout());
    see(&mut leaf, 10, 4);
    let sum = leaf.sum(NOW, 0, 1);
    let mut news = told(&mut leaf, NOW);
    news.sums.push(sum);
    root.hear(NOW, &name(1), &news);
    let answers = |after: u64| {
        let now = NOW + Duration::from_millis(after);
        root.sum(now, 0, 0).evidence.new.answers
    };
    assert_eq!((answers(0), answers(1_900), answers(2_100)), (10, 10, 0));
}

/// Sending all sessions that stay on the old release in each update would waste bandwidth during
/// the whole trial.
#[test]
fn held_sessions_are_told_once() {
    let (mut near, mut far) = (rollout(), rollout());
    let held = [1, 2, 3];
    let mut tell = |scope| near.news(NOW, held.into_iter(), scope).held.len();
    assert_eq!(tell(Scope::Fresh), 3);
    assert_eq!(tell(Scope::Fresh), 0);
    assert_eq!(tell(Scope::All), 3);
    let news = near.news(NOW, held.into_iter(), Scope::All);
    assert!(far.hear(NOW, &name(1), &news));
    assert_eq!(told(&mut far, NOW).held.len(), 3);
    assert_eq!(told(&mut far, NOW).held.len(), 0);
}
