//! Tests of the table of known hosts at several sizes of the fleet.

use std::time::Duration;

use host::gossip::{Gossip, Record, State};
use host::{Capacity, Member};
use kernel::Incarnation;

const SIZES: [usize; 4] = [8, 300, 1_000, 2_000];
const NOW: Duration = Duration::from_secs(100);

fn member(nr: usize) -> Member {
    let at = |port| {
        let ip = format!(
            "10.{}.{}.{}:{port}",
            1 + nr / 60_000,
            nr / 250 % 240,
            1 + nr % 250
        );
        ip.parse().unwrap()
    };
    Member {
        name: format!("host-{nr:05}").as_str().into(),
        front: at(8_227),
        link: at(7_340),
        data_centre: format!("dc-{}", nr % 6).as_str().into(),
        region: "here".into(),
        capacity: Capacity::default(),
    }
}

fn record(nr: usize, sequence: u32, state: State) -> Record {
    Record {
        member: member(nr),
        incarnation: Incarnation(1),
        sequence,
        state,
    }
}

/// Returns the state of a host that knows `count` ready hosts, itself included.
fn gossip(count: usize) -> Gossip {
    let mut gossip = Gossip::new(member(0), Incarnation(1), NOW);
    gossip.set_state(NOW, State::Ready);
    let records: Vec<_> = (1..count).map(|it| record(it, 1, State::Ready)).collect();
    gossip.merge(NOW, &records);
    gossip
}

/// Guards against an entry of each host in the store: every host that starts reads them all.
#[test]
fn few_hosts_are_listed_in_the_store() {
    for count in SIZES {
        let gossip = gossip(count);
        let listed = gossip.roster().missing(&[]);
        assert_eq!(listed.len(), count.min(64), "{count} hosts");
        assert_eq!(gossip.roster().missing(&listed), [], "{count} hosts");
        // Entries of dead hosts don't keep live ones out.
        let dead: Vec<_> = (90_000..90_100).map(member).collect();
        assert_eq!(gossip.roster().missing(&dead).len(), count.min(64));
    }
}

/// Guards against an outdated entry staying in the store because enough others are there.
#[test]
fn entries_of_hosts_that_moved_are_rewritten() {
    let gossip = gossip(1_000);
    let mut listed = gossip.roster().missing(&[]);
    listed[5].link = "10.9.9.9:1".parse().unwrap();
    assert_eq!(gossip.roster().missing(&listed).len(), 1);
}

/// Guards against new hosts being refused because many former ones are still known, and against
/// newer records of known hosts being refused at the bound.
#[test]
fn new_hosts_fit_beside_gone_ones() {
    let mut gossip = gossip(2_000);
    for nr in 1..1_500 {
        gossip.merge(NOW, &[record(nr, 2, State::Gone)]);
    }
    for nr in 2_000..6_000 {
        gossip.merge(NOW, &[record(nr, 1, State::Ready)]);
    }
    let live = gossip.roster().count();
    assert!(live >= 4_096, "{live} live hosts are known");
    assert!(gossip.merge(NOW, &[record(1_999, 2, State::Leaving)]));
}

/// Guards against a small host reading the store for all where larger ones are there.
#[test]
fn hosts_of_greater_capacity_rank_first() {
    let mut gossip = gossip(50);
    let before = gossip.roster().rank();
    let mut large: Vec<_> = (1..11).map(|it| record(it, 2, State::Ready)).collect();
    for it in &mut large {
        it.member.capacity = Capacity {
            millicores: 1_000,
            link_mbps: 1_000,
        };
    }
    gossip.merge(NOW, &large);
    assert!(gossip.roster().rank() >= 10, "{before}");
}
