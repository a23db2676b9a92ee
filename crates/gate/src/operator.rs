//! Requests and responses of the operator interface under `/operator/v1`.

use std::time::Duration;

use config::{ApplyError, ChangeMode, Commit, Document, Faults};
use derive_more::Display;
use kernel::{ChangeId, DataCentre, HostName, Incarnation, Revision, VersionId};
use serde::{Deserialize, Serialize};

use crate::problem::{Problem, Reason};

/// The name of the header that carries the revision at which an entry was read.
pub const IF_MATCH: &str = "if-match";
/// The name of the header that carries the [`ChangeId`].
pub const CHANGE: &str = "barleypin-change";

/// The name of the header that names the author of a change.
pub const AUTHOR: &str = "barleypin-author";
/// The name of the header that sets the [`ChangeMode`]: `guarded` or `forced`.
pub const MODE: &str = "barleypin-mode";

const MAX_AUTHOR_BYTES: usize = 64;
const MAX_CHANGE_ID_BYTES: usize = 128;

/// The response to `GET /operator/v1/document`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The revision that is active on the host.
    pub revision: Revision,
    /// The complete configuration.
    pub document: Document,
}

/// The response to a committed change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// The revision that the change created.
    pub revision: Revision,
    /// Whether an earlier call with the same change id already committed it.
    pub repeated: bool,
}

/// The response to a rejected change: the problem, and the details needed to
/// correct the change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Refusal {
    /// The problem document.
    #[serde(flatten)]
    pub problem: Problem,
    /// With [`Reason::Conflict`]: the current entry, if it exists.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub current: Option<serde_json::Value>,
    /// With [`Reason::Conflict`]: the revision of the entry's last change, zero if
    /// the entry doesn't exist.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub current_revision: Option<Revision>,
    /// With [`Reason::BadRequest`]: every fault that the change would introduce.
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

impl From<ApplyError> for Refusal {
    fn from(refused: ApplyError) -> Self {
        match refused {
            ApplyError::Conflict(conflict) => Self {
                current: conflict
                    .current
                    .as_ref()
                    .and_then(|entry| serde_json::to_value(entry).ok()),
                current_revision: Some(conflict.current_revision),
                ..Problem::not_run(Reason::Conflict, conflict.to_string()).into()
            },
            ApplyError::Faults(faults) => Self {
                problem: Problem::not_run(Reason::BadRequest, faults.to_string()),
                current: None,
                current_revision: None,
                faults,
            },
        }
    }
}

/// The parsed headers of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Condition {
    /// The revision at which the operator read the entry, zero for a new one.
    pub read_at: Revision,
    /// The id of the change.
    pub change: ChangeId,
    /// The author of the change, as reported by the operator's tool; empty if the
    /// header is absent.
    pub author: String,
    /// Whether a withdrawal that leaves a profile or one of its customers without a
    /// version is refused.
    pub mode: ChangeMode,
}

impl Condition {
    /// Parses the headers, looking each one up with `get`.
    ///
    /// # Errors
    /// Returns a 400 problem that names the invalid header and the accepted values.
    pub fn parse<'a>(get: impl Fn(&str) -> Option<&'a str>) -> Result<Self, Problem> {
        let read_at = get(IF_MATCH)
            .map(|text| text.trim_matches('"'))
            .and_then(|text| text.parse().ok())
            .map(Revision)
            .ok_or_else(|| {
                invalid_header(
                    IF_MATCH,
                    "expected the revision the entry was read at, 0 for a new one",
                )
            })?;
        let change = get(CHANGE)
            .filter(|text| is_valid_change_id(text))
            .map(ChangeId::from)
            .ok_or_else(|| {
                invalid_header(
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
            mode: get(MODE).map_or(Ok(ChangeMode::default()), parse_mode)?,
        })
    }
}

/// The response to `GET /operator/v1/history`, newest first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    /// The changes.
    pub entries: Vec<Commit>,
}

/// The state of an entry host.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The host is alive and not shutting down; it may still be starting.
    #[display("live")]
    Live,
    /// The host finishes its open requests and shuts down.
    #[display("leaving")]
    Leaving,
    /// The host may have failed: the responding host considers it suspect,
    /// unreachable or dead.
    #[display("suspect")]
    Suspect,
}

/// The status of an entry host as known to the responding host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// The host's name.
    pub name: HostName,
    /// The host's incarnation.
    pub incarnation: Incarnation,
    /// The address at which callers reach the host.
    pub address: String,
    /// The data centre it runs in.
    pub data_centre: DataCentre,
    /// The host's state.
    pub state: State,
    /// The revision that is active on the host. Known only for the responding
    /// host; zero for its peers.
    pub revision: Revision,
    /// Milliseconds since the host last had proof that this revision is the newest.
    /// `u64::MAX` for peers, and for a host that never had proof.
    pub proof_age_ms: u64,
    /// The number of open requests. Known only for the responding host; zero for
    /// its peers.
    pub load: u64,
}

/// The health of a version as judged by the responding host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Health {
    /// The version.
    pub version: VersionId,
    /// The configured state: `active` or `withdrawn`.
    pub state: String,
    /// The verdict of the responding host: `healthy` or `quarantined (<cause>)`.
    pub verdict: String,
    /// The number of endpoints that have the version loaded.
    pub endpoints: u32,
}

/// The progress of a roll-out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// The version being rolled out.
    pub version: VersionId,
    /// `running`, `paused`, `aborted` or `done`.
    pub state: String,
    /// The index of the current step.
    pub step: u32,
    /// The number of steps.
    pub steps: u32,
    /// The host that holds the roll-out's lease. Hosts always send `None`.
    pub holder: Option<HostName>,
}

/// Billing records that are not yet in the table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backlog {
    /// Records of the responding host.
    pub own: u64,
    /// Records stored on behalf of other hosts.
    pub held: u64,
    /// Age of the oldest of the responding host's own records in milliseconds.
    pub oldest_ms: u64,
}

/// The response to `GET /operator/v1/status`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The responding host.
    pub host: Host,
    /// The other known hosts.
    pub peers: Vec<Host>,
    /// All configured versions.
    pub versions: Vec<Health>,
    /// All configured roll-outs, in any state.
    pub rollouts: Vec<Rollout>,
    /// Billing records that are not yet in the table.
    pub backlog: Backlog,
}

/// Converts a duration to whole milliseconds, saturating at `u64::MAX`.
#[must_use]
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn is_valid_change_id(text: &str) -> bool {
    (1..=MAX_CHANGE_ID_BYTES).contains(&text.len())
        && text
            .bytes()
            .all(|it| it.is_ascii_alphanumeric() || matches!(it, b'-' | b'_' | b'.'))
}

fn parse_author(text: &str) -> Result<String, Problem> {
    if text.len() <= MAX_AUTHOR_BYTES && text.bytes().all(|it| it.is_ascii_graphic() || it == b' ')
    {
        Ok(text.to_owned())
    } else {
        Err(invalid_header(
            AUTHOR,
            "expected at most 64 printable ASCII characters",
        ))
    }
}

fn parse_mode(text: &str) -> Result<ChangeMode, Problem> {
    match text {
        "guarded" => Ok(ChangeMode::Guarded),
        "forced" => Ok(ChangeMode::Forced),
        _ => Err(invalid_header(MODE, "expected `guarded` or `forced`")),
    }
}

fn invalid_header(header: &str, expected: &str) -> Problem {
    Problem::not_run(Reason::BadRequest, format!("{header}: {expected}"))
}
