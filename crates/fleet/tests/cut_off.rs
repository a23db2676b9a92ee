//! Whose word counts after a cut: a host that reaches far fewer isn't believed
//! when it accuses, and one that reached few takes back what it said.

use std::time::Duration;

use fleet::{Event, Fleet, Tuning};
use kernel::Incarnation;
use wire::{Bulletin, Frame, Identity, Member, News, State};

const HOSTS: [&str; 10] = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j"];

fn member(host: &str, state: State) -> News {
    let address = ([127, 0, 0, 1], 1).into();
    News::Member(Member {
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

fn hear(fleet: &mut Fleet, reach: u32, news: Vec<News>) {
    let bulletin = Bulletin { reach, news };
    let event = Event::Frame {
        from: "b".into(),
        frame: Frame::News(bulletin),
    };
    fleet.handle(Duration::ZERO, event, &mut Vec::new());
}

/// Host a, which knows all others and finds `lost` of them out of reach.
fn host(lost: usize) -> Fleet {
    let News::Member(me) = member("a", State::Alive) else {
        unreachable!("it is a member");
    };
    let mut fleet = Fleet::new(me, 1, Tuning::default());
    let all = HOSTS[1..].iter().map(|it| member(it, State::Alive));
    hear(&mut fleet, 10, all.collect());
    let lost = HOSTS.iter().rev().take(lost);
    let lost = lost.map(|it| member(it, State::Unreachable));
    hear(&mut fleet, 10, lost.collect());
    fleet
}

/// Lets a host that lost `lost` others hear from one that reaches `reach` and
/// has lost c, and compares how many are lost then.
fn check(lost: usize, reach: u32, expected: usize) {
    let mut fleet = host(lost);
    hear(&mut fleet, reach, vec![member("c", State::Unreachable)]);
    let lost_now = fleet
        .members()
        .filter(|it| it.state == State::Unreachable)
        .count();
    assert_eq!(lost_now, expected, "{lost} lost, hears from {reach}");
}

#[test]
fn one_that_reaches_far_fewer_is_not_believed() {
    check(0, 1, 0);
    check(0, 6, 0);
    check(0, 7, 1);
    check(0, 10, 1);
}

#[test]
fn one_that_reaches_far_more_ends_the_cut() {
    // What the other says itself is taken in afterwards.
    check(7, 9, 1);
    check(4, 9, 1);
}

#[test]
fn hosts_of_one_side_keep_what_they_found() {
    // A region is cut off, and its hosts find the others one by one. A host
    // that was a few further than its neighbours took back all it had found
    // when it heard from them, so the region never came to an end, and when it
    // was back 8 of 275 hosts that nothing had happened to were declared
    // unreachable by all.
    check(5, 6, 6);
    check(5, 5, 6);
    check(8, 2, 8);
}
