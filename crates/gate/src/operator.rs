//! What operators' tools send and receive under `/operator/v1`.

use std::time::Duration;

use config::{Commit, Document, Faults, Mode, Refused};
use derive_more::Display;
use kernel::{ChangeId, DataCentre, HostName, Incarnation, Revision, VersionId};
use serde::{Deserialize, Serialize};

use crate::problem::{Problem, Reason};

/// The name of the header that carries the revision an entry was read at.
pub const IF_MATCH: &str = "if-match";
/// The name of the header that carries the [`ChangeId`].
pub const CHANGE: &str = "barleypin-change";

/// The name of the header that says who makes a change.
pub const AUTHOR: &str = "barleypin-author";
/// The name of the header that states the [`Mode`]: `guarded` or `forced`.
pub const MODE: &str = "barleypin-mode";

const MAX_AUTHOR: usize = 64;
const MAX_CHANGE: usize = 128;

/// The answer to `GET /operator/v1/document`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The revision that the host has in force.
    pub revision: Revision,
    /// The whole configuration.
    pub document: Document,
}

/// The answer to a change that is committed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// The revision that the change made.
    pub revision: Revision,
    /// Whether an earlier call with the same change id had committed it.
    pub repeated: bool,
}

/// The answer to a change that was not made: the problem, and what is to be
/// known to make it well.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Refusal {
    /// The refusal.
    #[serde(flatten)]
    pub problem: Problem,
    /// With [`Reason::Conflict`]: the entry as it stands, if it does.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub current: Option<serde_json::Value>,
    /// With [`Reason::Conflict`]: the revision of its last change, zero when
    /// there is no such entry.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub current_revision: Option<Revision>,
    /// With [`Reason::BadRequest`]: every fault that the change would make.
    #[serde(default, skip_serializing_if = "Faults::is_empty")]
    pub faults: Faults,
}

impl From<Problem> for Refusal {
    fn from(problem: Problem) -> Self {
        Self {
            problem,
            current: None,
            current_revision: None,
            faults: Faults::default(),
        }
    }
}

impl From<Refused> for Refusal {
    fn from(refused: Refused) -> Self {
        match refused {
            Refused::Conflict(conflict) => Self {
                current: conflict
                    .current
                    .as_ref()
                    .and_then(|entry| serde_json::to_value(entry).ok()),
                current_revision: Some(conflict.current_revision),
                ..Problem::not_run(Reason::Conflict, conflict.to_string()).into()
            },
            Refused::Faults(faults) => Self {
                problem: Problem::not_run(Reason::BadRequest, faults.to_string()),
                current: None,
                current_revision: None,
                faults,
            },
        }
    }
}

/// The conditions under which a change is to be made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Condition {
    /// The revision at which the operator read the entry, zero for a new one.
    pub read_at: Revision,
    /// The change's own name.
    pub change: ChangeId,
    /// Who makes it, as the tool says.
    pub author: String,
    /// Whether the guards against accidents apply.
    pub mode: Mode,
}

impl Condition {
    /// Reads the headers, each through `get`.
    ///
    /// # Errors
    /// A 400 problem that names the header and what it accepts.
    pub fn parse<'a>(get: impl Fn(&str) -> Option<&'a str>) -> Result<Self, Problem> {
        let read_at = get(IF_MATCH)
            .map(|text| text.trim_matches('"'))
            .and_then(|text| text.parse().ok())
            .map(Revision)
            .ok_or_else(|| {
                fault(
                    IF_MATCH,
                    "expected the revision the entry was read at, 0 for a new one",
                )
            })?;
        let change = get(CHANGE)
            .filter(|text| is_change(text))
            .map(ChangeId::from)
            .ok_or_else(|| {
                fault(
                    CHANGE,
                    "expected 1 to 128 of the characters a-z, A-Z, 0-9, `-`, `_` and `.`",
                )
            })?;
        Ok(Self {
            read_at,
            change,
            author: get(AUTHOR)
                .map(parse_author)
                .transpose()?
                .unwrap_or_default(),
            mode: get(MODE).map_or(Ok(Mode::default()), parse_mode)?,
        })
    }
}

/// The answer to `GET /operator/v1/history`, newest first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    /// The changes.
    pub entries: Vec<Commit>,
}

/// The state of an entry host.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It takes work.
    #[display("live")]
    Live,
    /// It finishes what it has and goes.
    #[display("leaving")]
    Leaving,
    /// It has not been heard from.
    #[display("suspect")]
    Suspect,
}

/// One entry host as this host knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Its name.
    pub name: HostName,
    /// Its life.
    pub incarnation: Incarnation,
    /// Where callers reach it.
    pub address: String,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Its state.
    pub state: State,
    /// The revision it has in force.
    pub revision: Revision,
    /// Milliseconds since it last had proof that this is the newest.
    pub proof_age_ms: u64,
    /// Requests it has open.
    pub load: u64,
}

/// One version as this host judges it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Health {
    /// The version.
    pub version: VersionId,
    /// What the configuration says: `active` or `withdrawn`.
    pub state: String,
    /// What this host concluded from the evidence: `healthy`, `probing` or `quarantined`.
    pub verdict: String,
    /// Endpoints that have it loaded.
    pub endpoints: u32,
}

/// A roll-out and how far it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// The version that is rolled out.
    pub version: VersionId,
    /// `running`, `paused`, `aborted` or `done`.
    pub state: String,
    /// The step it is at, from zero.
    pub step: u32,
    /// How many steps it has.
    pub steps: u32,
    /// The host that holds its lease, if this host knows.
    pub holder: Option<HostName>,
}

/// Billing records that the table doesn't have yet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backlog {
    /// Records of this host.
    pub own: u64,
    /// Records held for other hosts.
    pub held: u64,
    /// Age of the oldest in milliseconds.
    pub oldest_ms: u64,
}

/// The answer to `GET /operator/v1/status`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The host that answers.
    pub host: Host,
    /// Each other host that it knows.
    pub peers: Vec<Host>,
    /// Each configured version.
    pub versions: Vec<Health>,
    /// Each roll-out that isn't done.
    pub rollouts: Vec<Rollout>,
    /// What the table doesn't have yet.
    pub backlog: Backlog,
}

/// Milliseconds of a duration, as the documents here carry it.
#[must_use]
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn is_change(text: &str) -> bool {
    (1..=MAX_CHANGE).contains(&text.len())
        && text
            .bytes()
            .all(|it| it.is_ascii_alphanumeric() || matches!(it, b'-' | b'_' | b'.'))
}

fn parse_author(text: &str) -> Result<String, Problem> {
    if text.len() <= MAX_AUTHOR && text.bytes().all(|it| it.is_ascii_graphic() || it == b' ') {
        Ok(text.to_owned())
    } else {
        Err(fault(
            AUTHOR,
            "expected at most 64 printable ASCII characters",
        ))
    }
}

fn parse_mode(text: &str) -> Result<Mode, Problem> {
    match text {
        "guarded" => Ok(Mode::Guarded),
        "forced" => Ok(Mode::Forced),
        _ => Err(fault(MODE, "expected `guarded` or `forced`")),
    }
}

fn fault(header: &str, expected: &str) -> Problem {
    Problem::not_run(Reason::BadRequest, format!("{header}: {expected}"))
}
