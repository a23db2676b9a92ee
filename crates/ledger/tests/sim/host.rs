//! A simulated host.

use kernel::{DataCentre, Incarnation};
use ledger::{Event, Ledger, Peer, PeerState, Reach, Tuning};

/// The run state of a host's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunState {
    Running,
    /// Suspended; events wait until it resumes.
    Frozen,
    /// Exited after a drain.
    Exited,
    /// Killed.
    Killed,
}

/// A host with its ledger, and the events that wait while it is frozen.
#[derive(Debug)]
pub(crate) struct Host {
    pub(crate) name: String,
    pub(crate) data_centre: DataCentre,
    pub(crate) incarnation: Incarnation,
    pub(crate) ledger: Ledger,
    pub(crate) run_state: RunState,
    pub(crate) inbox: Vec<Event>,
    pub(crate) state: PeerState,
    pub(crate) tuning: Tuning,
    /// Whether it takes a new incarnation as soon as it is fenced.
    pub(crate) renews_when_fenced: bool,
}

impl Host {
    pub(crate) fn new(
        name: &str,
        data_centre: &str,
        incarnation: Incarnation,
        tuning: Tuning,
    ) -> Self {
        let data_centre = DataCentre::from(data_centre);
        Self {
            name: name.to_owned(),
            ledger: Ledger::new(incarnation, data_centre.clone(), tuning.clone()),
            data_centre,
            incarnation,
            run_state: RunState::Running,
            inbox: Vec::new(),
            state: PeerState::Live,
            tuning,
            renews_when_fenced: true,
        }
    }

    pub(crate) fn is_gone(&self) -> bool {
        matches!(self.run_state, RunState::Exited | RunState::Killed)
    }

    pub(crate) fn as_peer(&self) -> Peer {
        Peer {
            incarnation: self.incarnation,
            data_centre: self.data_centre.clone(),
            reach: Reach::Near,
            state: self.state,
        }
    }
}
