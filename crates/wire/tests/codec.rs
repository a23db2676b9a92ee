//! Frames decode to what was encoded; invalid bytes are rejected, and no input makes the
//! decoder panic.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use kernel::{HostName, Incarnation, Revision, VersionId};
use proptest::collection::{btree_set, vec};
use proptest::prelude::*;
use wire::{
    Ack, Age, AnnouncedRevision, Bucket, Delta, Digest, Document, Endpoint, EndpointState, Error,
    Evidence, FailedEndpoint, Fetch, Frame, GossipMessage, GossipUpdate, Hop, Identity, Load,
    MAX_FRAME_BYTES, Member, Payload, Probe, ProbeRequest, Proof, Ruling, State, Topic, VERSION,
    Verdict,
};

fn text() -> impl Strategy<Value = String> {
    "[a-z0-9.@-]{0,24}"
}

fn blob() -> impl Strategy<Value = Vec<u8>> {
    vec(any::<u8>(), 0..64)
}

fn millis() -> impl Strategy<Value = Duration> {
    any::<u64>().prop_map(Duration::from_millis)
}

fn identity() -> impl Strategy<Value = Identity> {
    (text(), any::<u64>()).prop_map(|(host, incarnation)| Identity {
        host: HostName::from(host),
        incarnation: Incarnation(incarnation),
    })
}

fn proof() -> impl Strategy<Value = Proof> {
    (any::<u64>(), proptest::option::of(millis())).prop_map(|(revision, age)| Proof {
        revision: Revision(revision),
        age: age.map(Age),
    })
}

/// Generates addresses without an IPv6 scope, which isn't encoded.
fn address() -> impl Strategy<Value = SocketAddr> {
    (any::<IpAddr>(), any::<u16>()).prop_map(SocketAddr::from)
}

fn state() -> impl Strategy<Value = State> {
    prop_oneof![
        Just(State::Alive),
        Just(State::Leaving),
        Just(State::Suspect),
        Just(State::Unreachable),
        Just(State::Dead),
    ]
}

fn member() -> impl Strategy<Value = Member> {
    let addresses = (address(), address());
    let locations = (text(), text());
    (identity(), any::<u32>(), state(), addresses, locations).prop_map(
        |(identity, refutation, state, (fleet_address, address), (data_centre, region))| Member {
            identity,
            refutation,
            state,
            fleet_address,
            address,
            data_centre: data_centre.into(),
            region: region.into(),
        },
    )
}

fn verdict() -> impl Strategy<Value = Verdict> {
    let ruling = prop_oneof![Just(Ruling::Lift), Just(Ruling::Quarantine)];
    (text(), any::<u64>(), ruling, identity(), blob()).prop_map(
        |(version, round, ruling, by, evidence)| Verdict {
            version: VersionId::from(version),
            round,
            ruling,
            by,
            evidence,
        },
    )
}

fn endpoint() -> impl Strategy<Value = Endpoint> {
    let state = prop_oneof![
        Just(EndpointState::Live),
        Just(EndpointState::Leaving),
        Just(EndpointState::Gone),
    ];
    (identity(), state).prop_map(|(identity, state)| Endpoint {
        host: identity.host,
        incarnation: identity.incarnation,
        state,
    })
}

fn gossip_message() -> impl Strategy<Value = GossipMessage> {
    let announced = (any::<u64>(), identity()).prop_map(|(revision, holder)| AnnouncedRevision {
        revision: Revision(revision),
        holder,
    });
    let one = prop_oneof![
        member().prop_map(GossipUpdate::Member),
        announced.prop_map(GossipUpdate::Revision),
        verdict().prop_map(GossipUpdate::Verdict),
        endpoint().prop_map(GossipUpdate::Endpoint),
    ];
    (any::<u32>(), vec(one, 0..4)).prop_map(|(reach, updates)| GossipMessage { reach, updates })
}

fn loads() -> impl Strategy<Value = Vec<Load>> {
    let one = (text(), any::<u8>(), millis()).prop_map(|(host, level, age)| Load {
        host: host.into(),
        level,
        age,
    });
    vec(one, 0..4)
}

fn membership_frame() -> impl Strategy<Value = Frame> {
    let common_fields = || (proof(), any::<u64>(), gossip_message(), loads());
    let buckets = vec((any::<u8>(), any::<u32>()), 0..8);
    prop_oneof![
        (any::<u32>(), identity(), address(), common_fields()).prop_map(
            |(sequence, from, address, (proof, view, gossip_message, loads))| {
                Frame::Probe(Probe {
                    sequence,
                    from,
                    address,
                    proof,
                    view,
                    gossip_message,
                    loads,
                })
            }
        ),
        (any::<u32>(), identity(), common_fields()).prop_map(
            |(sequence, from, (proof, view, gossip_message, loads))| {
                Frame::Ack(Ack {
                    sequence,
                    from,
                    proof,
                    view,
                    gossip_message,
                    loads,
                })
            }
        ),
        (any::<u32>(), identity(), identity(), address()).prop_map(
            |(sequence, from, target, address)| {
                Frame::ProbeRequest(ProbeRequest {
                    sequence,
                    from,
                    target,
                    address,
                })
            }
        ),
        gossip_message().prop_map(Frame::Gossip),
        (identity(), buckets, gossip_message(), any::<bool>()).prop_map(
            |(from, buckets, gossip_message, wants_response)| {
                let buckets = buckets
                    .into_iter()
                    .map(|(index, hash)| Bucket { index, hash })
                    .collect();
                Frame::Digest(Digest {
                    from,
                    buckets,
                    gossip_message,
                    wants_response,
                })
            }
        ),
    ]
}

fn configuration_frame() -> impl Strategy<Value = Frame> {
    let ids = (any::<u32>(), any::<u64>());
    prop_oneof![
        (ids, identity()).prop_map(|((sequence, revision), from)| {
            Frame::Fetch(Fetch {
                sequence,
                from,
                newer_than: Revision(revision),
            })
        }),
        (ids, proptest::option::of(millis()), blob()).prop_map(
            |((sequence, revision), age, json)| {
                Frame::Document(Document {
                    sequence,
                    revision: Revision(revision),
                    age: age.map(Age),
                    json,
                })
            }
        ),
    ]
}

fn evidence_frame() -> impl Strategy<Value = Frame> {
    let hop = prop_oneof![
        Just(Hop::Direct),
        Just(Hop::Host),
        Just(Hop::DataCentre),
        Just(Hop::Standby),
        Just(Hop::Fleet),
        Just(Hop::Final),
    ];
    let topic = prop_oneof![
        (text(), text()).prop_map(|(version, class)| Topic::Version {
            version: version.into(),
            class: class.into(),
        }),
        text().prop_map(|it| Topic::Customer(it.into())),
    ];
    let counts = vec((any::<u8>(), any::<u64>()), 0..4);
    let failed_endpoints = btree_set((any::<u64>(), any::<u64>()), 0..4);
    let delta = (topic, any::<bool>(), counts, failed_endpoints).prop_map(
        |(topic, is_urgent, counts, failed_endpoints)| {
            let mut delta = Delta::new(topic);
            delta.is_urgent = is_urgent;
            for (counter, value) in counts {
                delta.counts.add(counter, value);
            }
            delta.failed_endpoints = failed_endpoints.into_iter().map(failed_endpoint).collect();
            delta
        },
    );
    (identity(), hop, vec(delta, 0..4))
        .prop_map(|(from, hop, deltas)| Frame::Evidence(Evidence { from, hop, deltas }))
}

fn failed_endpoint((host, incarnation): (u64, u64)) -> FailedEndpoint {
    FailedEndpoint {
        host,
        incarnation: Incarnation(incarnation),
    }
}

fn other_frame() -> impl Strategy<Value = Frame> {
    prop_oneof![
        payload().prop_map(Frame::Ledger),
        payload().prop_map(Frame::Decide),
        identity().prop_map(Frame::Drain),
        Just(Frame::Done),
    ]
}

fn payload() -> impl Strategy<Value = Payload> {
    (identity(), blob()).prop_map(|(from, bytes)| Payload { from, bytes })
}

fn frame() -> impl Strategy<Value = Frame> {
    prop_oneof![
        membership_frame(),
        configuration_frame(),
        evidence_frame(),
        other_frame()
    ]
}

proptest! {
    #[test]
    fn an_encoded_frame_decodes_to_itself(frame in frame()) {
        let bytes = frame.encode().unwrap();
        prop_assert_eq!(Frame::decode(&bytes), Ok(frame));
    }

    #[test]
    fn arbitrary_bytes_never_panic(bytes in vec(any::<u8>(), 0..512)) {
        let _ = Frame::decode(&bytes);
    }

    #[test]
    fn arbitrary_bodies_never_panic(body in vec(any::<u8>(), 0..512)) {
        let bytes = [vec![VERSION], body].concat();
        let _ = Frame::decode(&bytes);
    }

    #[test]
    fn a_truncated_frame_is_rejected(frame in frame(), end in any::<prop::sample::Index>()) {
        let bytes = frame.encode().unwrap();
        let end = end.index(bytes.len());
        prop_assert!(Frame::decode(&bytes[..end]).is_err());
    }

    #[test]
    fn a_changed_byte_never_panics(
        frame in frame(),
        position in any::<prop::sample::Index>(),
        byte in any::<u8>(),
    ) {
        let mut bytes = frame.encode().unwrap();
        let position = position.index(bytes.len());
        bytes[position] = byte;
        let _ = Frame::decode(&bytes);
    }
}

fn check_error(bytes: &[u8], expected: Error) {
    assert_eq!(Frame::decode(bytes), Err(expected));
}

#[test]
fn invalid_bytes_are_rejected_with_the_matching_error() {
    let done = Frame::Done.encode().unwrap();
    check_error(&[], Error::Empty);
    check_error(&[VERSION + 1, 0], Error::UnknownVersion(VERSION + 1));
    check_error(&[VERSION, 0xff], Error::Malformed);
    check_error(&[done, vec![0]].concat(), Error::TrailingBytes(1));
    check_error(
        &vec![VERSION; MAX_FRAME_BYTES + 1],
        Error::TooLarge(MAX_FRAME_BYTES + 1),
    );
}

#[test]
fn a_length_beyond_the_end_of_the_frame_is_rejected() {
    // The frame claims u32::MAX gossip updates and contains none.
    check_error(
        &[VERSION, 3, 0, 0xff, 0xff, 0xff, 0xff, 0x0f],
        Error::Malformed,
    );
}

#[test]
fn an_age_is_rounded_up_to_whole_milliseconds() {
    let age = Age(Duration::from_micros(1500));
    let document = Document {
        sequence: 1,
        revision: Revision(1),
        age: Some(age),
        json: vec![],
    };
    let bytes = Frame::Document(document).encode().unwrap();
    let Ok(Frame::Document(document)) = Frame::decode(&bytes) else {
        panic!("not a document");
    };
    assert_eq!(document.age, Some(Age(Duration::from_millis(2))));
}

#[test]
fn a_frame_over_the_size_limit_is_not_encoded() {
    let frame = Frame::Ledger(Payload {
        from: Identity {
            host: "a".into(),
            incarnation: Incarnation(1),
        },
        bytes: vec![0; MAX_FRAME_BYTES],
    });
    assert!(matches!(frame.encode(), Err(Error::TooLarge(_))));
}
