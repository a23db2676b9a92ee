//! A simulated host.

use kernel::{DataCentre, Incarnation};
use ledger::{Event, Ledger, Peer, Reach, State, Tuning};

/// The run state of a host's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Power {
    On,
    /// Suspended; events wait until it resumes.
    Frozen,
    /// Exited after a drain.
    Left,
    /// Killed.
    Off,
}

/// A simulated host.
#[derive(Debug)]
pub(crate) struct Host {
    pub(crate) name: String,
    pub(crate) data_centre: DataCentre,
    pub(crate) incarnation: Incarnation,
    pub(crate) ledger: Ledger,
    pub(crate) power: Power,
    pub(crate) inbox: Vec<Event>,
    pub(crate) state: State,
    pub(crate) tuning: Tuning,
    /// Whether it takes a new incarnation as soon as it is fenced.
    pub(crate) renews: bool,
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
            power: Power::On,
            inbox: Vec::new(),
            state: State::Live,
            tuning,
            renews: true,
        }
    }

    pub(crate) fn is_gone(&self) -> bool {
        matches!(self.power, Power::Left | Power::Off)
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
