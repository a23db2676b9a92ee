//! What hosts saw of versions and of customers' demand.

use serde::{Deserialize, Serialize};

use crate::{Delta, Identity};

/// What was counted since the sender's last evidence.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Who sends it.
    pub from: Identity,
    /// How many hosts it speaks for, and where it goes next.
    pub reach: Reach,
    /// The counts.
    pub deltas: Vec<Delta>,
}

/// Which part of the pooling a frame of evidence is on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reach {
    /// One host's own counts, to be used by the receiver and passed to nobody.
    Direct,
    /// One host's own counts, to be added up by the relay of its data centre.
    Host,
    /// A data centre's counts, to be added up by the topic's first home, which
    /// also gives them back to all.
    DataCentre,
    /// The same for the topic's other homes, which give nothing back.
    Standby,
    /// All counts, to be passed on by the relay to the hosts of its data centre.
    Fleet,
    /// All counts, at their last stop.
    Final,
}
