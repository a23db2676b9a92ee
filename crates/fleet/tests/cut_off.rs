//! A host weighs reports of unreachable hosts by how many hosts the reporter
//! reaches: it ignores reports from a far smaller partition, and retracts all
//! accusations once it learns that it was in one.

use std::time::Duration;

use fleet::{Event, Fleet, Tuning};
use kernel::Incarnation;
use wire::{Frame, GossipMessage, GossipUpdate, Identity, Member, State};

const HOSTS: [&str; 10] = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j"];

fn member(host: &str, state: State) -> GossipUpdate {
    let address = ([127, 0, 0, 1], 1).into();
    GossipUpdate::Member(Member {
        identity: Identity {
            host: host.into(),
            incarnation: Incarnation(1),
        },
        refutation: 0,
        state,
        fleet_address: address,
        address,
        data_centre: "d1".into(),
        region: "r1".into(),
    })
}

fn receive(fleet: &mut Fleet, reach: u32, updates: Vec<GossipUpdate>) {
    let gossip_message = GossipMessage { reach, updates };
    let event = Event::Frame {
        from: "b".into(),
        frame: Frame::Gossip(gossip_message),
    };
    fleet.handle(Duration::ZERO, event, &mut Vec::new());
}

/// Returns host a, which knows all others and considers `lost` of them unreachable.
fn host_with_lost(lost: usize) -> Fleet {
    let GossipUpdate::Member(me) = member("a", State::Alive) else {
        unreachable!("`member` returns a member record");
    };
    let mut fleet = Fleet::new(me, 1, Tuning::default());
    let all = HOSTS[1..].iter().map(|it| member(it, State::Alive));
    receive(&mut fleet, 10, all.collect());
    let lost = HOSTS.iter().rev().take(lost);
    let lost = lost.map(|it| member(it, State::Unreachable));
    receive(&mut fleet, 10, lost.collect());
    fleet
}

/// Checks how many hosts are unreachable to a host that had lost `lost` others and
/// then receives a report that c is unreachable from one that reaches `reach` hosts.
fn check(lost: usize, reach: u32, expected: usize) {
    let mut fleet = host_with_lost(lost);
    receive(&mut fleet, reach, vec![member("c", State::Unreachable)]);
    let lost_now = fleet
        .members()
        .filter(|it| it.state == State::Unreachable)
        .count();
    assert_eq!(
        lost_now, expected,
        "{lost} unreachable, update from a host that reaches {reach}"
    );
}

#[test]
fn reports_of_a_host_that_reaches_far_fewer_are_ignored() {
    check(0, 1, 0);
    check(0, 6, 0);
    check(0, 7, 1);
    check(0, 10, 1);
}

#[test]
fn update_of_a_host_that_reaches_far_more_retracts_all_accusations() {
    // The records in the update itself are applied afterwards, so c is unreachable.
    check(7, 9, 1);
    check(4, 9, 1);
}

#[test]
fn hosts_on_the_same_side_of_a_cut_keep_their_accusations() {
    // A host doesn't retract because a neighbour has noticed fewer unreachable hosts
    // so far; otherwise the views of a cut-off region would never converge.
    check(5, 6, 6);
    check(5, 5, 6);
    check(8, 2, 8);
}
