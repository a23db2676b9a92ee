//! The steps of a soak, drawn from its seed.

use std::fmt::{self, Display};
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The entry hosts of a soak.
pub(super) const HOSTS: [&str; 3] = ["a", "b", "c"];
/// Interval between two calls.
const CALL_EVERY: Duration = Duration::from_millis(40);
/// Pause between two faults of the same kind, as a range in milliseconds.
const REST: (u64, u64) = (1_500, 4_000);

/// A step and its time since the start.
#[derive(Clone, Debug)]
pub(super) struct Step {
    pub(super) at: Duration,
    pub(super) act: Act,
}

/// The action of a step.
#[derive(Clone, Debug)]
pub(super) enum Act {
    /// A caller makes a call and retries it until it succeeds.
    Call(Job),
    /// Sends SIGKILL to a host.
    Kill(&'static str),
    /// Sends SIGSTOP to a host.
    Freeze(&'static str),
    /// Sends SIGCONT to a host.
    Thaw(&'static str),
    /// Sends SIGTERM to a host.
    Drain(&'static str),
    /// Replaces a killed or drained host.
    Start(&'static str),
    /// Sets faults of a stand-in.
    Fault {
        at: &'static str,
        json: &'static str,
    },
    /// Withdraws or restores a version, as an operator.
    Change(State),
}

/// The configured state of a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    Active,
    Withdrawn,
}

/// A call, whose retries carry the same key and ticket.
#[derive(Clone, Debug)]
pub(super) struct Job {
    pub(super) key: String,
    pub(super) kind: Kind,
    /// Whether the caller takes a ticket first.
    pub(super) ticket: Ticket,
    /// Index of the host that is called first.
    pub(super) first: usize,
}

/// The kind of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Kind {
    /// A seat hold; at most once.
    Hold,
    /// A catalogue entry; at most once.
    Entry,
    /// An era tag.
    Tag,
    /// A dossier as a stream.
    Dossier,
}

/// Whether a caller has a ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Ticket {
    Taken,
    None,
}

impl Kind {
    const ALL: [Self; 4] = [Self::Hold, Self::Entry, Self::Tag, Self::Dossier];

    /// Returns the arguments of the script command `call`.
    pub(super) fn arguments(self) -> &'static str {
        match self {
            Self::Hold => "path=holds",
            Self::Entry => "profile=entry",
            Self::Tag => "profile=tag",
            Self::Dossier => "profile=dossier stream",
        }
    }

    pub(super) fn is_at_most_once(self) -> bool {
        matches!(self, Self::Hold | Self::Entry)
    }
}

/// Draws the steps of a soak. At most one host is down at a time: a record is lost when both of its
/// holders are, see `docs/design/ledger.md`.
pub(super) fn draw(seed: u64, length: Duration) -> Vec<Step> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut steps = calls(&mut rng, length);
    steps.extend(hosts(&mut rng, length));
    steps.extend(store(&mut rng, length));
    steps.extend(endpoints(&mut rng, length));
    steps.extend(operators(&mut rng, length));
    steps.sort_by_key(|it| it.at);
    steps
}

fn calls(rng: &mut Pcg64Mcg, length: Duration) -> Vec<Step> {
    let mut steps = Vec::new();
    let mut at = Duration::ZERO;
    while at < length {
        let kind = *Kind::ALL.choose(rng).unwrap_or(&Kind::Tag);
        let ticket = if rng.random::<f64>() < 0.8 {
            Ticket::Taken
        } else {
            Ticket::None
        };
        let job = Job {
            key: format!("soak-{}", steps.len()),
            kind,
            ticket,
            first: rng.random_range(0..HOSTS.len()),
        };
        let act = Act::Call(job);
        steps.push(Step { at, act });
        at += CALL_EVERY;
    }
    steps
}

fn hosts(rng: &mut Pcg64Mcg, length: Duration) -> Vec<Step> {
    let mut steps = Vec::new();
    let mut at = millis(rng, (300, 1_500));
    while at < length {
        let host = HOSTS[rng.random_range(0..HOSTS.len())];
        let (begin, end, lasts) = match rng.random_range(0..3) {
            0 => (Act::Kill(host), Act::Start(host), (300, 2_500)),
            1 => (Act::Freeze(host), Act::Thaw(host), (300, 6_000)),
            _ => (Act::Drain(host), Act::Start(host), (2_500, 4_000)),
        };
        steps.push(Step { at, act: begin });
        at += millis(rng, lasts);
        steps.push(Step { at, act: end });
        // Leaves time to replicate records again before the next host fails.
        at += millis(rng, (4_000, 7_000));
    }
    steps
}

fn store(rng: &mut Pcg64Mcg, length: Duration) -> Vec<Step> {
    const TROUBLES: [(&str, &str); 3] = [
        (r#"{"outage": true}"#, r#"{"outage": false}"#),
        (r#"{"delay_ms": 400}"#, r#"{"delay_ms": 0}"#),
        (r#"{"lose_answers": 2}"#, r#"{"lose_answers": 0}"#),
    ];
    troubles(rng, length, &["table"], &TROUBLES)
}

fn endpoints(rng: &mut Pcg64Mcg, length: Duration) -> Vec<Step> {
    const ENGINE: [(&str, &str); 5] = [
        (r#"{"cut": 0.5, "cut_after": 2}"#, r#"{"cut": 0.0}"#),
        (r#"{"duplicate": 0.5}"#, r#"{"duplicate": 0.0}"#),
        (r#"{"errors": 0.3}"#, r#"{"errors": 0.0}"#),
        (r#"{"refuse": "overloaded"}"#, r#"{"refuse": null}"#),
        (r#"{"delay_ms": 300}"#, r#"{"delay_ms": 0}"#),
    ];
    const SERVICE: [(&str, &str); 3] = [
        (r#"{"lose_answers": 2}"#, r#"{"lose_answers": 0}"#),
        (r#"{"refuse": "overloaded"}"#, r#"{"refuse": null}"#),
        (r#"{"delay_ms": 300}"#, r#"{"delay_ms": 0}"#),
    ];
    let mut steps = troubles(rng, length, &["engine-1", "engine-2"], &ENGINE);
    steps.extend(troubles(rng, length, &["seats-1", "seats-2"], &SERVICE));
    steps
}

fn troubles(
    rng: &mut Pcg64Mcg,
    length: Duration,
    places: &[&'static str],
    kinds: &[(&'static str, &'static str)],
) -> Vec<Step> {
    let mut steps = Vec::new();
    let mut at = millis(rng, REST);
    while at < length {
        let place = places[rng.random_range(0..places.len())];
        let (begin, end) = kinds[rng.random_range(0..kinds.len())];
        for (json, lasts) in [(begin, (300, 3_000)), (end, REST)] {
            let act = Act::Fault { at: place, json };
            steps.push(Step { at, act });
            at += millis(rng, lasts);
        }
    }
    steps
}

fn operators(rng: &mut Pcg64Mcg, length: Duration) -> Vec<Step> {
    let mut steps = Vec::new();
    let mut at = millis(rng, REST);
    let mut next = State::Withdrawn;
    while at < length {
        let act = Act::Change(next);
        steps.push(Step { at, act });
        next = match next {
            State::Active => State::Withdrawn,
            State::Withdrawn => State::Active,
        };
        at += millis(rng, (6_000, 12_000));
    }
    steps
}

fn millis(rng: &mut Pcg64Mcg, (least, most): (u64, u64)) -> Duration {
    Duration::from_millis(rng.random_range(least..most))
}

impl Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "# at {} ms", self.at.as_millis())?;
        match &self.act {
            Act::Call(job) => {
                let (host, kind) = (HOSTS[job.first], job.kind.arguments());
                let ticket = match job.ticket {
                    Ticket::Taken => format!(" ticket={host}"),
                    Ticket::None => String::new(),
                };
                write!(f, "call host={host} {kind} key={}{ticket}", job.key)
            }
            Act::Kill(host) => write!(f, "kill host={host}"),
            Act::Freeze(host) => write!(f, "freeze host={host}"),
            Act::Thaw(host) => write!(f, "thaw host={host}"),
            Act::Drain(host) => write!(f, "drain host={host}"),
            Act::Start(host) => write!(f, "start-host host={host}"),
            Act::Fault { at, json } => write!(f, "fault at=({at})\n{json}"),
            Act::Change(State::Active) => write!(f, "# big@2 is made active"),
            Act::Change(State::Withdrawn) => write!(f, "# big@2 is withdrawn"),
        }
    }
}
