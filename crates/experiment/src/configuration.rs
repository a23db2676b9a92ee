use kernel::Revision;

use crate::{ground_truth::VersionIdx, workload::World};

/// The operators' configuration of the versions, which changes during a scenario.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Configuration {
    pub(crate) revision: Revision,
    /// Indexed by [`VersionIdx`].
    pub(crate) states: [State; 4],
    /// The version that is being rolled out and the one that it replaces.
    pub(crate) rollout: Option<(VersionIdx, VersionIdx)>,
}

/// The state of a version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum State {
    /// No profile allows the version yet.
    Unlisted,
    Active,
    /// The version gets this share of its eligible requests.
    Trial(f64),
    Withdrawn,
}

impl Configuration {
    /// Initial share of a roll-out.
    const FIRST_SHARE: f64 = 0.02;

    pub(crate) fn new() -> Self {
        let states = VersionIdx::ALL.map(|it| {
            if World::ACTIVE.contains(&it) {
                State::Active
            } else {
                State::Unlisted
            }
        });
        Self {
            revision: Revision(1),
            states,
            rollout: None,
        }
    }

    pub(crate) fn withdraw(&mut self, version: VersionIdx) {
        self.revision = self.revision.next();
        self.states[version.idx()] = State::Withdrawn;
    }

    pub(crate) fn roll_out(&mut self, version: VersionIdx, replaces: VersionIdx) {
        self.revision = self.revision.next();
        self.states[version.idx()] = State::Trial(Self::FIRST_SHARE);
        self.rollout = Some((version, replaces));
    }

    /// Sets the share of a version if it is being rolled out and the configuration still has
    /// `revision`. A share of 1 makes the version active and ends the roll-out. Returns whether the
    /// step was applied.
    pub(crate) fn apply_rollout_step(
        &mut self,
        version: VersionIdx,
        to: f64,
        revision: Revision,
    ) -> bool {
        let current = self.rollout.is_some_and(|(it, _)| it == version);
        if !current || revision != self.revision {
            return false;
        }
        self.revision = self.revision.next();
        self.states[version.idx()] = if to >= 1.0 {
            self.rollout = None;
            State::Active
        } else {
            State::Trial(to)
        };
        true
    }

    /// Returns whether new requests may go to a version.
    pub(crate) fn accepts_requests(&self, version: VersionIdx) -> bool {
        matches!(self.states[version.idx()], State::Active | State::Trial(_))
    }
}
