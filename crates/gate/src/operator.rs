//! What operators' tools send and receive under `/operator/v1`.

use std::time::Duration;

use derive_more::Display;
use kernel::{ChangeId, DataCentre, HostName, Incarnation, Revision, VersionId};
use serde::{Deserialize, Serialize};

use crate::problem::{Problem, Reason};

/// The name of the header that carries the revision an entry was read at.
pub const IF_MATCH: &str = "if-match";
/// The name of the header that carries the [`ChangeId`].
pub const CHANGE: &str = "barleypin-change";

const MAX_CHANGE: usize = 128;

/// The answer to `GET /operator/v1/document`; `D` is the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot<D> {
    /// The committed revision.
    pub revision: Revision,
    /// The whole configuration.
    pub document: D,
}

/// The answer to a change that is committed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// The revision that the change made.
    pub revision: Revision,
    /// Whether an earlier call with the same change id had committed it.
    pub repeated: bool,
}

/// The answer to a change whose entry was changed by someone else meanwhile;
/// `E` is the entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict<E> {
    /// The refusal, [`Reason::Conflict`].
    #[serde(flatten)]
    pub problem: Problem,
    /// The entry as it stands, nothing when it was deleted.
    pub current: Option<E>,
    /// The revision of its last change, zero when it was deleted.
    pub current_revision: Revision,
}

/// The conditions under which a change is to be made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Condition {
    /// The revision at which the operator read the entry, zero for a new one.
    pub read_at: Revision,
    /// The change's own name.
    pub change: ChangeId,
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
        Ok(Self { read_at, change })
    }
}

/// One committed change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The revision that it made.
    pub revision: Revision,
    /// Its name.
    pub change: ChangeId,
    /// What it did, in a few words.
    pub what: String,
    /// Wall time of the commit in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// The answer to `GET /operator/v1/history`, newest first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    /// The changes.
    pub entries: Vec<Entry>,
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

fn fault(header: &str, expected: &str) -> Problem {
    Problem::not_run(Reason::BadRequest, format!("{header}: {expected}"))
}
