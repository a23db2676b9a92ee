use kernel::Revision;

use crate::{truth::VersionIdx, workload::World};

/// What operators have configured of the versions, which changes in a scenario.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Configuration {
    pub(crate) revision: Revision,
    /// By [`VersionIdx`].
    pub(crate) states: [State; 4],
    /// The version that is rolled out and the one that it replaces.
    pub(crate) rollout: Option<(VersionIdx, VersionIdx)>,
}

/// Whether a version takes new work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum State {
    /// No profile lists it yet.
    Unlisted,
    Active,
    /// It takes this share of the work that it could take.
    Trial(f64),
    Withdrawn,
}

impl Configuration {
    /// The share that a roll-out starts with.
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

    /// Takes a step of the roll-out if it was decided on this revision.
    pub(crate) fn step(&mut self, version: VersionIdx, to: f64, revision: Revision) -> bool {
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

    /// Whether new work may go to a version at all.
    pub(crate) fn takes_work(&self, version: VersionIdx) -> bool {
        matches!(self.states[version.idx()], State::Active | State::Trial(_))
    }
}
