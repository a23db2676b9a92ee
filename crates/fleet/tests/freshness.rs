//! The age of a host's proof that its revision is the newest is never
//! underestimated, since the host would otherwise serve a withdrawn version.

use std::time::Duration;

use fleet::{Action, Event, Fleet, Polled, Tuning};
use kernel::{Incarnation, Revision};
use wire::{
    Ack, Age, Document, Frame, GossipMessage, GossipUpdate, Identity, Member, Proof, State,
};

fn secs(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn identity(host: &str) -> Identity {
    Identity {
        host: host.into(),
        incarnation: Incarnation(1),
    }
}

fn member(host: &str) -> Member {
    let address = ([127, 0, 0, 1], 1).into();
    Member {
        identity: identity(host),
        refutation: 0,
        state: State::Alive,
        fleet_address: address,
        address,
        data_centre: "d1".into(),
        region: "r1".into(),
    }
}

/// Host a, which has revision 1 in force since the start and knows host b.
struct Case {
    fleet: Fleet,
}

impl Case {
    fn new() -> Self {
        let fleet = Fleet::new(member("a"), 1, Tuning::default());
        let mut case = Self { fleet };
        let gossip_message = GossipMessage {
            reach: 2,
            updates: vec![GossipUpdate::Member(member("b"))],
        };
        case.receive(0.0, Frame::Gossip(gossip_message));
        case.poll(0.0, 0.0, 1);
        case
    }

    fn deliver(&mut self, at: f64, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.fleet.handle(secs(at), event, &mut actions);
        actions
    }

    fn receive(&mut self, at: f64, frame: Frame) -> Vec<Action> {
        let from = "b".into();
        self.deliver(at, Event::Frame { from, frame })
    }

    fn poll(&mut self, asked: f64, answered: f64, revision: u64) {
        let polled = Polled {
            asked: secs(asked),
            revision: Revision(revision),
            json: Some(b"{}".as_slice().into()),
        };
        self.deliver(answered, Event::Polled(polled));
    }

    /// Advances time in small steps until a frame of the given kind is sent.
    /// Returns the time and the frame.
    fn wait_for(&mut self, mut at: f64, kind: &str) -> (f64, Frame) {
        loop {
            for action in self.deliver(at, Event::Tick) {
                if let Action::Send { frame, .. } = action
                    && frame.kind() == kind
                {
                    return (at, frame);
                }
            }
            at += 0.1;
        }
    }

    fn ack(&mut self, at: f64, sequence: u32, revision: u64, age: f64) -> Vec<Action> {
        let ack = Ack {
            sequence,
            from: identity("b"),
            proof: Proof {
                revision: Revision(revision),
                age: Some(Age(secs(age))),
            },
            view: 0,
            gossip_message: GossipMessage {
                reach: 2,
                updates: vec![],
            },
            loads: vec![],
        };
        self.receive(at, Frame::Ack(ack))
    }

    fn check_proof_age(&self, at: f64, expected: f64) {
        let age = self.fleet.proof_age(secs(at)).unwrap();
        let difference = (age.as_secs_f64() - expected).abs();
        assert!(difference < 0.001, "{age:?}, expected {expected} s");
    }
}

fn sequence_of(frame: &Frame) -> u32 {
    match frame {
        Frame::Probe(probe) => probe.sequence,
        Frame::Fetch(fetch) => fetch.sequence,
        other => panic!("{} frame has no sequence number", other.kind()),
    }
}

#[test]
fn age_after_a_slow_read_counts_from_the_request() {
    let mut case = Case::new();
    case.poll(1.0, 5.0, 1);
    case.check_proof_age(5.0, 4.0);
}

#[test]
fn older_proof_does_not_replace_newer() {
    let mut case = Case::new();
    case.poll(3.0, 3.1, 1);
    case.poll(1.0, 5.0, 1);
    case.check_proof_age(5.0, 2.0);
}

#[test]
fn age_of_a_peers_proof_counts_from_the_probe() {
    let mut case = Case::new();
    let (sent, probe) = case.wait_for(0.1, "probe");
    case.ack(sent + 0.4, sequence_of(&probe), 1, 0.05);
    case.check_proof_age(sent + 0.4, 0.45);
}

#[test]
fn ack_after_a_freeze_is_ignored() {
    // A minute without events counts as a freeze, after which pending probes are
    // dropped, so the late ack is no proof.
    let mut case = Case::new();
    let (sent, probe) = case.wait_for(0.1, "probe");
    case.ack(sent + 60.0, sequence_of(&probe), 1, 0.0);
    case.check_proof_age(sent + 60.0, sent + 60.0);
}

#[test]
fn proof_of_another_revision_is_ignored() {
    let mut case = Case::new();
    let (sent, probe) = case.wait_for(0.1, "probe");
    case.ack(sent + 0.1, sequence_of(&probe), 0, 0.0);
    case.check_proof_age(sent + 0.1, sent + 0.1);
}

#[test]
fn unsolicited_proof_is_ignored() {
    let mut case = Case::new();
    case.ack(1.5, 77, 1, 0.0);
    case.check_proof_age(1.5, 1.5);
}

#[test]
fn fetched_document_carries_the_age_of_its_proof() {
    let mut case = Case::new();
    let (sent, probe) = case.wait_for(0.1, "probe");
    let actions = case.ack(sent + 0.1, sequence_of(&probe), 2, 0.0);
    let fetch = actions.into_iter().find_map(|it| match it {
        Action::Send { frame, .. } if frame.kind() == "fetch" => Some(frame),
        _ => None,
    });
    let document = Document {
        sequence: sequence_of(&fetch.unwrap()),
        revision: Revision(2),
        age: Some(Age(secs(300.0))),
        json: b"{}".to_vec(),
    };
    case.receive(sent + 0.3, Frame::Document(document));
    assert_eq!(case.fleet.revision(), Revision(2));
    case.check_proof_age(sent + 0.3, 300.2);
}
