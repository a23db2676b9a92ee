//! Membership records merge to the same result in any order and with any number of
//! repetitions.

use std::time::Duration;

use fleet::{Event, Fleet, Tuning};
use kernel::Incarnation;
use proptest::collection::vec;
use proptest::prelude::*;
use wire::{Frame, GossipMessage, GossipUpdate, Identity, Member, State};

/// Enough hosts that reports stay credible while two of them are unreachable.
const OTHERS: [&str; 9] = ["b", "c", "d", "e", "f", "g", "h", "i", "j"];

/// The number of hosts that the sender reaches.
const REACH: u32 = 9;

fn member(host: &str, incarnation: u64, refutation: u32, state: State) -> Member {
    let address = ([127, 0, 0, 1], 1).into();
    Member {
        identity: Identity {
            host: host.into(),
            incarnation: Incarnation(incarnation),
        },
        refutation,
        state,
        fleet_address: address,
        address,
        data_centre: "d1".into(),
        region: "r1".into(),
    }
}

fn member_records() -> impl Strategy<Value = Vec<Member>> {
    let state = prop_oneof![
        Just(State::Alive),
        Just(State::Leaving),
        Just(State::Suspect),
        Just(State::Unreachable),
        Just(State::Dead),
    ];
    let host = prop_oneof![Just("b"), Just("c")];
    let one =
        (host, 1_u64..4, 0_u32..3, state).prop_map(|(host, incarnation, refutation, state)| {
            member(host, incarnation, refutation, state)
        });
    vec(one, 0..12)
}

/// Returns the records of a host that knew the first incarnations of the others and
/// then received `records`.
fn apply_updates(records: &[Member]) -> Vec<Member> {
    let me = member("a", 1, 0, State::Alive);
    let mut fleet = Fleet::new(me, 1, Tuning::default());
    let first = OTHERS.map(|it| member(it, 1, 0, State::Alive));
    for it in first.iter().chain(records) {
        let gossip_message = GossipMessage {
            reach: REACH,
            updates: vec![GossipUpdate::Member(it.clone())],
        };
        let event = Event::Frame {
            from: "b".into(),
            frame: Frame::Gossip(gossip_message),
        };
        fleet.handle(Duration::ZERO, event, &mut Vec::new());
    }
    fleet.members().cloned().collect()
}

proptest! {
    #[test]
    fn update_order_does_not_matter(
        (original, shuffled) in member_records()
            .prop_flat_map(|it| (Just(it.clone()), Just(it).prop_shuffle())),
    ) {
        prop_assert_eq!(apply_updates(&original), apply_updates(&shuffled));
    }

    #[test]
    fn repeated_updates_change_nothing(it in member_records()) {
        let twice = [it.clone(), it.clone()].concat();
        prop_assert_eq!(apply_updates(&twice), apply_updates(&it));
    }

    #[test]
    fn dead_incarnation_stays_dead(it in member_records()) {
        let all = [vec![member("b", 3, 0, State::Dead)], it].concat();
        let b = apply_updates(&all).into_iter().find(|it| it.identity.host.as_str() == "b");
        let b = b.unwrap();
        prop_assert_eq!((b.identity.incarnation.0, b.state), (3, State::Dead));
    }
}
