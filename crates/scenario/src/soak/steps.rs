//! The steps of a soak, drawn from its seed.

use std::fmt::{self, Display};
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The entry hosts of a soak.
pub(super) const HOSTS: [&str; 3] = ["a", "b", "c"];
/// Interval between two calls.
const CALL_INTERVAL: Duration = Duration::from_millis(40);
/// Pause between two faults at the same group of stand-ins, as a range in milliseconds; also the
/// delay of the first fault and of the first change.
const FAULT_PAUSE_MS: (u64, u64) = (1_500, 4_000);

/// A step and its time since the start.
#[derive(Clone, Debug)]
pub(super) struct Step {
    pub(super) at: Duration,
    pub(super) action: Action,
}

/// The action of a step.
#[derive(Clone, Debug)]
pub(super) enum Action {
    /// A caller makes a call and retries it until it succeeds or its attempts are used up.
    Call(CallSpec),
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
pub(super) struct CallSpec {
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

/// Draws the steps of a soak. At most one host is drawn to be down at a time: a record is lost when
/// both hosts that hold it are down, see `docs/design/ledger.md`.
pub(super) fn draw(seed: u64, length: Duration) -> Vec<Step> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut steps = call_steps(&mut rng, length);
    steps.extend(host_fault_steps(&mut rng, length));
    steps.extend(table_fault_steps(&mut rng, length));
    steps.extend(endpoint_fault_steps(&mut rng, length));
    steps.extend(change_steps(&mut rng, length));
    steps.sort_by_key(|it| it.at);
    steps
}

fn call_steps(rng: &mut Pcg64Mcg, length: Duration) -> Vec<Step> {
    let mut steps = Vec::new();
    let mut at = Duration::ZERO;
    while at < length {
        let kind = *Kind::ALL.choose(rng).unwrap_or(&Kind::Tag);
        let ticket = if rng.random::<f64>() < 0.8 {
            Ticket::Taken
        } else {
            Ticket::None
        };
        let spec = CallSpec {
            key: format!("soak-{}", steps.len()),
            kind,
            ticket,
            first: rng.random_range(0..HOSTS.len()),
        };
        let action = Action::Call(spec);
        steps.push(Step { at, action });
        at += CALL_INTERVAL;
    }
    steps
}

fn host_fault_steps(rng: &mut Pcg64Mcg, length: Duration) -> Vec<Step> {
    let mut steps = Vec::new();
    let mut at = random_millis(rng, (300, 1_500));
    while at < length {
        let host = HOSTS[rng.random_range(0..HOSTS.len())];
        let (begin, end, duration) = match rng.random_range(0..3) {
            0 => (Action::Kill(host), Action::Start(host), (300, 2_500)),
            1 => (Action::Freeze(host), Action::Thaw(host), (300, 6_000)),
            _ => (Action::Drain(host), Action::Start(host), (2_500, 4_000)),
        };
        steps.push(Step { at, action: begin });
        at += random_millis(rng, duration);
        steps.push(Step { at, action: end });
        // Leaves time to replicate records again before the next host fails.
        at += random_millis(rng, (4_000, 7_000));
    }
    steps
}

fn table_fault_steps(rng: &mut Pcg64Mcg, length: Duration) -> Vec<Step> {
    const TABLE_FAULTS: [(&str, &str); 3] = [
        (r#"{"outage": true}"#, r#"{"outage": false}"#),
        (r#"{"delay_ms": 400}"#, r#"{"delay_ms": 0}"#),
        (r#"{"lose_answers": 2}"#, r#"{"lose_answers": 0}"#),
    ];
    stand_in_fault_steps(rng, length, &["table"], &TABLE_FAULTS)
}

fn endpoint_fault_steps(rng: &mut Pcg64Mcg, length: Duration) -> Vec<Step> {
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
    let mut steps = stand_in_fault_steps(rng, length, &["engine-1", "engine-2"], &ENGINE);
    steps.extend(stand_in_fault_steps(
        rng,
        length,
        &["seats-1", "seats-2"],
        &SERVICE,
    ));
    steps
}

fn stand_in_fault_steps(
    rng: &mut Pcg64Mcg,
    length: Duration,
    stand_ins: &[&'static str],
    kinds: &[(&'static str, &'static str)],
) -> Vec<Step> {
    let mut steps = Vec::new();
    let mut at = random_millis(rng, FAULT_PAUSE_MS);
    while at < length {
        let stand_in = stand_ins[rng.random_range(0..stand_ins.len())];
        let (begin, end) = kinds[rng.random_range(0..kinds.len())];
        for (json, duration) in [(begin, (300, 3_000)), (end, FAULT_PAUSE_MS)] {
            let action = Action::Fault { at: stand_in, json };
            steps.push(Step { at, action });
            at += random_millis(rng, duration);
        }
    }
    steps
}

fn change_steps(rng: &mut Pcg64Mcg, length: Duration) -> Vec<Step> {
    let mut steps = Vec::new();
    let mut at = random_millis(rng, FAULT_PAUSE_MS);
    let mut next = State::Withdrawn;
    while at < length {
        let action = Action::Change(next);
        steps.push(Step { at, action });
        next = match next {
            State::Active => State::Withdrawn,
            State::Withdrawn => State::Active,
        };
        at += random_millis(rng, (6_000, 12_000));
    }
    steps
}

fn random_millis(rng: &mut Pcg64Mcg, (min, max): (u64, u64)) -> Duration {
    Duration::from_millis(rng.random_range(min..max))
}

impl Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "# at {} ms", self.at.as_millis())?;
        match &self.action {
            Action::Call(spec) => {
                let (host, kind) = (HOSTS[spec.first], spec.kind.arguments());
                let ticket = match spec.ticket {
                    Ticket::Taken => format!(" ticket={host}"),
                    Ticket::None => String::new(),
                };
                write!(f, "call host={host} {kind} key={}{ticket}", spec.key)
            }
            Action::Kill(host) => write!(f, "kill host={host}"),
            Action::Freeze(host) => write!(f, "freeze host={host}"),
            Action::Thaw(host) => write!(f, "thaw host={host}"),
            Action::Drain(host) => write!(f, "drain host={host}"),
            Action::Start(host) => write!(f, "start-host host={host}"),
            Action::Fault { at, json } => write!(f, "fault at=({at})\n{json}"),
            Action::Change(State::Active) => write!(f, "# big@2 is made active"),
            Action::Change(State::Withdrawn) => write!(f, "# big@2 is withdrawn"),
        }
    }
}
