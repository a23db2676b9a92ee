//! Roll-outs of versions.

use derive_more::Display;
use kernel::{Revision, VersionId};
use serde::{Deserialize, Serialize};

use crate::entry_check::EntryCheck;
use crate::schema::{Accepts, DefaultValue, Key, Section, Shape};
use crate::table::Table;
use crate::{Document, FaultKind, validate};

/// A roll-out that shifts the traffic of a version to a new one in steps. The
/// document stores it under the id of the new version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rollout {
    /// The version that the new one replaces.
    pub replaces: VersionId,
    /// The new version's share of the traffic at each step: above 0, at most 1,
    /// strictly increasing.
    pub steps: Vec<f64>,
    /// The state of the roll-out.
    #[serde(default)]
    pub state: RolloutState,
    /// The index of the current step.
    #[serde(default)]
    pub step: usize,
    /// The revision at which the current step and state began; set by
    /// [`crate::Document::apply`].
    #[serde(rename = "begun", default)]
    pub step_revision: Revision,
    /// The revision that last changed this entry; set by [`crate::Document::apply`].
    #[serde(default)]
    pub changed: Revision,
}

impl Rollout {
    /// The default of `steps`.
    pub const DEFAULT_STEPS: &[f64] = &[0.01, 0.1, 0.5, 1.0];

    /// Returns the new version's current share of the traffic.
    #[must_use]
    pub fn share(&self) -> f64 {
        match self.state {
            RolloutState::Running | RolloutState::Paused => {
                self.steps.get(self.step).copied().unwrap_or(0.0)
            }
            RolloutState::Aborted => 0.0,
            RolloutState::Done => 1.0,
        }
    }

    pub(crate) const SECTION: Section = Section {
        name: "",
        about: "a roll-out that shifts the traffic of a version to a new one in steps, named by the new version",
        shape: Shape::One,
        keys: &[&REPLACES, &STEPS, &STATE, &STEP],
        sections: &[],
    };

    pub(crate) fn read(table: &Table<'_>) -> Self {
        Self {
            replaces: table.text(&REPLACES).into(),
            steps: table.steps(&STEPS),
            state: table.word(&STATE, &RolloutState::WORDS),
            step: table.size(&STEP),
            step_revision: Revision(0),
            changed: Revision(0),
        }
    }

    pub(crate) fn check(&self, check: &mut EntryCheck, id: &VersionId, document: &Document) {
        if !document.versions.contains_key(id) {
            let found = FaultKind::Value(format!("`{id}`"));
            check.report("name", found, "a version that is configured".into());
        }
        if !document.versions.contains_key(&self.replaces) || self.replaces == *id {
            let found = FaultKind::Value(format!("`{}`", self.replaces));
            check.report(
                "replaces",
                found,
                "another version that is configured".into(),
            );
        }
        if !validate::are_steps(&self.steps) {
            check.report_value(&STEPS, format_args!("{:?}", self.steps));
        }
        if self.step >= self.steps.len() {
            let found = FaultKind::Value(self.step.to_string());
            check.report(
                "step",
                found,
                "the index of one of the `steps`, from 0 on".into(),
            );
        }
        self.check_overlap(check, id, document);
    }

    /// Checks that no other open roll-out replaces the same version, since their
    /// shares of its traffic would overlap. The roll-out that was changed last has
    /// the fault.
    fn check_overlap(&self, check: &mut EntryCheck, id: &VersionId, document: &Document) {
        if !self.state.is_open() {
            return;
        }
        let mut others = document.rollouts.iter().filter(|(other, _)| *other != id);
        let overlaps = |it: &Self| {
            it.state.is_open() && it.replaces == self.replaces && it.changed <= self.changed
        };
        if let Some((other, _)) = others.find(|(_, it)| overlaps(it)) {
            let found = FaultKind::Value(format!("`{}`", self.replaces));
            let accepted = format!(
                "a version that no open roll-out replaces; the roll-out of {other} replaces it"
            );
            check.report("replaces", found, accepted);
        }
    }
}

/// The state of a roll-out.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutState {
    /// The roll-out continues with the next step when the evidence allows it.
    #[default]
    #[display("running")]
    Running,
    /// The roll-out stays at its step until an operator resumes it.
    #[display("paused")]
    Paused,
    /// The new version gets none of the replaced version's traffic.
    #[display("aborted")]
    Aborted,
    /// The new version gets all of the replaced version's traffic.
    #[display("done")]
    Done,
}

impl RolloutState {
    const WORDS: [(&str, Self); 4] = [
        ("running", Self::Running),
        ("paused", Self::Paused),
        ("aborted", Self::Aborted),
        ("done", Self::Done),
    ];

    /// Returns whether the roll-out is running or paused.
    #[must_use]
    pub fn is_open(self) -> bool {
        matches!(self, Self::Running | Self::Paused)
    }
}

const REPLACES: Key = Key {
    name: "replaces",
    accepts: Accepts::Version,
    default: DefaultValue::Required,
    about: "the version that the new one replaces",
};

const STEPS: Key = Key {
    name: "steps",
    accepts: Accepts::Steps,
    default: DefaultValue::Steps(Rollout::DEFAULT_STEPS),
    about: "the new version's share of the traffic at each step",
};

const STATE: Key = Key {
    name: "state",
    accepts: Accepts::OneOf(&["running", "paused", "aborted", "done"]),
    default: DefaultValue::Word("running"),
    about: "the state; a paused roll-out stays at its step",
};

const STEP: Key = Key {
    name: "step",
    accepts: Accepts::Integer { min: 0, max: 100 },
    default: DefaultValue::Integer(0),
    about: "the index of the current step, from 0",
};
